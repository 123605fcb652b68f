package discovery

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const start = boottime.Instant(10_000_000_000)

func entry(id string, state State) Registered {
	return Registered{Server: BackendServer{ID: id, Service: "s", State: state, BornUnixMillis: 1}}
}

func ids(servers []BackendServer) []string {
	all := []string{}
	for _, s := range servers {
		all = append(all, s.ID)
	}
	return all
}

func TestWith(t *testing.T) {
	whole := Update{Changes: []Change{entry("a", Ready), entry("b", Ready), entry("c", Draining)}, Complete: true, ReadAt: start}
	cases := []struct {
		name   string
		events []Update
		at     boottime.Instant
		want   []string
	}{
		{"whole list", nil, start, []string{"a", "b"}},
		{"removed while the store is there", []Update{
			{Changes: []Change{Removed{ID: "a"}}, ReadAt: start},
		}, start, []string{"b"}},
		{"drains", []Update{{Changes: []Change{entry("a", Draining)}, ReadAt: start}}, start, []string{"b"}},
		{"lapsed during an outage, soon after", []Update{
			{Changes: []Change{Removed{ID: "a"}}, ReadAt: start, RecoveredAt: start},
		}, start.AddMillis(1000), []string{"a", "b"}},
		{"lapsed during an outage and not back", []Update{
			{Changes: []Change{Removed{ID: "a"}}, ReadAt: start, RecoveredAt: start},
		}, start.AddMillis(renewalMillis + 1), []string{"b"}},
		{"lapsed during an outage and back", []Update{
			{Changes: []Change{Removed{ID: "a"}}, ReadAt: start, RecoveredAt: start},
			{Changes: []Change{entry("a", Ready)}, ReadAt: start.AddMillis(1500), RecoveredAt: start},
		}, start.AddMillis(9000), []string{"a", "b"}},
		{"removed long after an outage", []Update{
			{Changes: []Change{Removed{ID: "a"}}, ReadAt: start.AddMillis(5000), RecoveredAt: start},
		}, start.AddMillis(5000), []string{"b"}},
		{"absent from a whole list after an outage", []Update{
			{Changes: []Change{entry("b", Ready)}, Complete: true, ReadAt: start, RecoveredAt: start},
		}, start.AddMillis(renewalMillis + 1), []string{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := List{}.With(whole)
			for _, e := range c.events {
				list = list.With(e)
			}
			is.Equal(ids(list.Ready("s", c.at)), c.want)
		})
	}
}

// A list never changes once it was made.
func TestWithLeavesTheOldList(t *testing.T) {
	is := is.New(t)
	before := List{}.With(Update{Changes: []Change{entry("a", Ready)}, ReadAt: start})
	after := before.With(Update{Changes: []Change{Removed{ID: "a"}, entry("b", Ready)}, ReadAt: start})
	is.Equal(ids(before.All()), []string{"a"})
	is.Equal(ids(after.All()), []string{"b"})
}
