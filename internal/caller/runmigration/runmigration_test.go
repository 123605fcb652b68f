package runmigration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverpause"
)

// TestCandidates checks which servers count as about to shut down. The runs of a new engine at
// the address of one that is gone must be left alone.
func TestCandidates(t *testing.T) {
	const now = boottime.Instant(1_000_000_000_000)
	engine := func(id, address string, state discovery.State) discovery.Registered {
		return discovery.Registered{Server: discovery.BackendServer{ID: id, Address: address, State: state}}
	}
	tests := []struct {
		name    string
		later   []discovery.Change
		leaving string
		want    []string
	}{
		{"nothing changes", nil, "", nil},
		{"listed as draining", []discovery.Change{engine("a", "10.0.0.1:1", discovery.Draining)}, "", []string{"a"}},
		{"leaving by its answers", nil, "b", []string{"b"}},
		{"removed", []discovery.Change{discovery.Removed{ID: "a"}}, "", []string{"a"}},
		{"removed and replaced", []discovery.Change{discovery.Removed{ID: "a"}, engine("c", "10.0.0.1:1", discovery.Ready)}, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := []discovery.Change{engine("a", "10.0.0.1:1", discovery.Ready), engine("b", "10.0.0.2:1", discovery.Ready)}
			list := discovery.List{}.With(discovery.Update{Changes: first, ReadAt: now})
			list = list.With(discovery.Update{Changes: tt.later, ReadAt: now})
			pauses := &serverpause.Table{}
			if server, ok := list.Find(tt.leaving); ok {
				pauses.Observe(server, serverpause.Answer{Leaving: true}, now)
			}
			var got []string
			for _, server := range candidates(list, pauses, now) {
				got = append(got, server.ID)
			}
			is.Equal(got, tt.want)
		})
	}
}
