package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

// newHostList names so many backend servers of each model and one plain service.
func newHostList(perModel, models int) []membership.Host {
	hosts := []membership.Host{{Name: "entry-1", Role: membership.RoleEntry, PeerAddress: "127.0.0.1:1"}}
	for n := range perModel * models {
		hosts = append(hosts, membership.Host{
			Name: fmt.Sprintf("engine-%03d", n), Role: membership.RoleBackend, PeerAddress: "127.0.0.1:1",
			AvailabilityZone: fmt.Sprintf("zone-%d", n%4), Model: fmt.Sprintf("model-%d", n%models), Service: "s",
		})
	}
	return append(hosts, membership.Host{
		Name: "desk-1", Role: membership.RoleBackend, PeerAddress: "127.0.0.1:1", Service: "desk",
	})
}

// rankedSubset is the subset as it is drawn without a memory of it.
func rankedSubset(r *Balancer, model string) []string {
	var candidates []choice.Candidate
	for m := range r.Members.Snapshot().Model(model) {
		candidates = append(candidates, choice.Candidate{
			Name:   m.Host.Name,
			Zone:   m.Host.AvailabilityZone,
			Region: m.Host.Region,
		})
	}
	var names []string
	for _, c := range choice.Subset(r.Name, r.Zone, r.Region, candidates, r.Candidates) {
		names = append(names, c.Name)
	}
	return names
}

func TestSubsetFollowsHostList(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Balancer{Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{}}
	is.Equal(len(r.Watched()), 0) // no list was read yet
	for _, perModel := range []int{2, 40, 60, 8} {
		// Hosts that are no longer listed are kept for a while; a later list
		// drops them.
		now = now.Add(time.Hour)
		is.NoErr(r.Members.ApplyList(newHostList(perModel, 3), now))
		now = now.Add(time.Hour)
		is.NoErr(r.Members.ApplyList(newHostList(perModel, 3), now))
		snapshot := r.Members.Snapshot()
		for _, model := range []string{"model-0", "model-1", "model-2"} {
			is.Equal(r.subset(snapshot, serverKind{model: model}), rankedSubset(r, model))
		}
		is.Equal(r.subset(snapshot, serverKind{service: "desk"}), []string{"desk-1"})
		is.Equal(len(r.Watched()), 3*min(perModel, 8)+1)
	}
}

func TestSubsetIsCachedUntilHostListChanges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Balancer{Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{}}
	is.NoErr(r.Members.ApplyList(newHostList(40, 3), now))
	of := serverKind{model: "model-1"}
	before := r.subset(r.Members.Snapshot(), of)
	is.NoErr(r.Members.DialFailed(before[0], now)) // changes a member and not the membership
	after := r.subset(r.Members.Snapshot(), of)
	is.True(&before[0] == &after[0]) // the same slice was returned
}
