package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

// newHostList returns one entry host, perModel backend servers for each of the
// given number of models, and one plain service.
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

// uncachedSubset computes the subset of a model without the cache.
func uncachedSubset(b *Balancer, model string) []string {
	var candidates []choice.Candidate
	for m := range b.Members.Snapshot().Model(model) {
		candidates = append(candidates, choice.Candidate{
			Name:   m.Host.Name,
			Zone:   m.Host.AvailabilityZone,
			Region: m.Host.Region,
		})
	}
	var names []string
	for _, c := range choice.Subset(b.Name, b.Zone, b.Region, candidates, b.Candidates) {
		names = append(names, c.Name)
	}
	return names
}

func TestSubsetFollowsHostList(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &Balancer{Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{}}
	is.Equal(len(b.Watched()), 0) // no host list has been applied
	for _, perModel := range []int{2, 40, 60, 8} {
		// Hosts that a host list no longer names are dropped by a later list, after
		// a grace period.
		now = now.Add(time.Hour)
		is.NoErr(b.Members.ApplyList(newHostList(perModel, 3), now))
		now = now.Add(time.Hour)
		is.NoErr(b.Members.ApplyList(newHostList(perModel, 3), now))
		snapshot := b.Members.Snapshot()
		for _, model := range []string{"model-0", "model-1", "model-2"} {
			is.Equal(b.subset(snapshot, serverKind{model: model}), uncachedSubset(b, model))
		}
		is.Equal(b.subset(snapshot, serverKind{service: "desk"}), []string{"desk-1"})
		is.Equal(len(b.Watched()), 3*min(perModel, 8)+1)
	}
}

func TestSubsetIsCachedUntilHostListChanges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &Balancer{Name: "entry-1", Zone: "zone-1", Candidates: 8, Members: &membership.Table{}}
	is.NoErr(b.Members.ApplyList(newHostList(40, 3), now))
	kind := serverKind{model: "model-1"}
	before := b.subset(b.Members.Snapshot(), kind)
	is.NoErr(b.Members.DialFailed(before[0], now)) // changes a member but not the membership
	after := b.subset(b.Members.Snapshot(), kind)
	is.True(&before[0] == &after[0]) // the same slice was returned
}
