package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// engineCandidate is an engine in the own zone without load.
func engineCandidate(id string) Candidate {
	return Candidate{Server: discovery.BackendServer{ID: id}, SameZone: true, Slots: 24, MemoryTokens: 34_000}
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name   string
		change func(first, second *Candidate)
		want   int
	}{
		{"prompt being read", func(a, _ *Candidate) { a.Starting = 1 }, 1},
		{"prompt being read in the own zone against another zone", func(a, b *Candidate) {
			a.Starting = 1
			b.SameZone = false
		}, 1},
		{"more memory taken", func(a, _ *Candidate) { a.ExpectedTokens = 20_000 }, 1},
		{"full memory against a prompt being read", func(a, b *Candidate) {
			a.ExpectedTokens = 33_000
			b.Starting = 2
		}, 1},
		{"other zone", func(a, _ *Candidate) { a.SameZone = false }, 1},
		{"cold", func(a, _ *Candidate) { a.Cold = true }, 1},
		{"fails its requests", func(a, _ *Candidate) { a.FailureShare = 0.4 }, 1},
		{"ends soon against a full one", func(a, b *Candidate) {
			a.Leaving = true
			b.ExpectedTokens = 34_000
			b.Starting = 9
		}, 1},
		{"not reached against one that ends soon", func(a, b *Candidate) {
			a.Avoided = true
			b.Leaving = true
		}, 1},
		{"tried", func(a, b *Candidate) {
			a.Tried = true
			b.Avoided = true
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, second := engineCandidate("first"), engineCandidate("second")
			c.change(&first, &second)
			got, ok := Choose([]Candidate{first, second}, 3000, []float64{0, 0})
			is.True(ok)
			is.Equal(got, c.want)
		})
	}
}

// A server that was not reached is still better than none.
func TestChooseTakesTheLastResort(t *testing.T) {
	is := is.New(t)
	only := engineCandidate("only")
	only.Avoided = true
	only.Leaving = true
	_, ok := Choose([]Candidate{only}, 3000, []float64{0})
	is.True(ok)
	only.Tried = true
	_, ok = Choose([]Candidate{only}, 3000, []float64{0})
	is.True(!ok)
}

// Requests that arrive before the next report must not all go to the engine
// that the last report showed to be empty.
func TestLoadTableSpreadsABurst(t *testing.T) {
	is := is.New(t)
	l := &LoadTable{Zone: "a"}
	service := routetable.Service{Engine: &routetable.Engine{MemoryTokens: 34_000}}
	now := boottime.Instant(1_000_000_000)
	var ready []discovery.BackendServer
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		ready = append(ready, discovery.BackendServer{ID: id, Zone: "a", Slots: 24, State: discovery.Ready})
		l.SetReport(id, Report{ExpectedTokens: 8000, ReceivedAt: now})
	}
	l.SetReport("e1", Report{ReceivedAt: now})
	placed := make(map[string]int)
	for n := range 8 {
		got := l.Place(ready, Request{Service: service, Tokens: 4000}, now.AddMillis(int64(n)+1))
		is.True(got.Assignment != nil)
		placed[got.Chosen.Server.ID]++
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		is.True(placed[id] >= 1 && placed[id] <= 3) // spread over all
	}
}

func TestLoadTableForgetsFailures(t *testing.T) {
	is := is.New(t)
	l := &LoadTable{Zone: "a"}
	now := boottime.Instant(1_000_000_000)
	server := discovery.BackendServer{ID: "e", Zone: "a", Slots: 6}
	for range 10 {
		l.OpenAt("e", 0, now).End(true, now)
	}
	is.True(l.newCandidate(server, Request{}, now).FailureShare > 0.5)
	later := now.AddMillis(failureForgetMillis + 1)
	is.Equal(l.newCandidate(server, Request{}, later).FailureShare, 0.0) // it is tried again
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{engineCandidate("b"), engineCandidate("a"), engineCandidate("c")}
	points := []float64{0.5, 0.2, 0.1}
	var turns []string
	for turn := range 4 {
		i, ok := chooseBy(RoundRobin{}, candidates, 0, points, turn)
		is.True(ok)
		turns = append(turns, candidates[i].Server.ID)
	}
	is.Equal(turns, []string{"a", "b", "c", "a"})

	candidates[0].Open, candidates[1].Open, candidates[2].Open = 1, 1, 2
	least, ok := chooseBy(LeastOutstanding{}, candidates, 0, points, 0)
	is.True(ok)
	is.Equal(candidates[least].Server.ID, "a") // the fewest, then by lot
	candidates[1].Avoided = true
	candidates[1].Open = 0
	least, _ = chooseBy(LeastOutstanding{}, candidates, 0, points, 0)
	is.Equal(candidates[least].Server.ID, "b")

	for i := range candidates {
		candidates[i].Tried = true
	}
	for _, placing := range []Policy{ByForecast{}, RoundRobin{}, LeastOutstanding{}} {
		_, ok := chooseBy(placing, candidates, 0, points, 0)
		is.True(!ok)
	}
}

// BenchmarkTake places a generation among engines that each run ten others of
// this host.
func BenchmarkTake(b *testing.B) {
	for _, engines := range []int{12, 60} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			const open, tokens = 10, 3000
			l := &LoadTable{Zone: "a"}
			var ready []discovery.BackendServer
			for n := range engines {
				id := fmt.Sprint("engine-", n)
				ready = append(ready, discovery.BackendServer{ID: id, Zone: "a", Slots: 24})
				l.SetReport(id, Report{Running: open, UsedTokens: open * tokens, ExpectedTokens: open * tokens, ReceivedAt: boottime.Now()})
				for range open {
					l.OpenAt(id, tokens, boottime.Now())
				}
			}
			ask := Request{Service: routetable.Service{Engine: &routetable.Engine{MemoryTokens: 34_000}}, Tokens: tokens}
			b.ReportAllocs()
			for b.Loop() {
				l.Place(ready, ask, boottime.Now()).Assignment.End(false, boottime.Now())
			}
		})
	}
}
