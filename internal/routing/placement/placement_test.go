package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// engineCandidate returns an idle engine in the entry host's zone.
func engineCandidate(id string) Candidate {
	return Candidate{Server: discovery.BackendServer{ID: id}, SameZone: true, Slots: 24, MemoryTokens: 34_000}
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name   string
		change func(first, second *Candidate)
		want   int
	}{
		{"engine still processes a prompt", func(a, _ *Candidate) { a.Starting = 1 }, 1},
		{"prompt in the same zone against an idle engine in another zone", func(a, b *Candidate) {
			a.Starting = 1
			b.SameZone = false
		}, 1},
		{"more memory expected in use", func(a, _ *Candidate) { a.ExpectedTokens = 20_000 }, 1},
		{"full memory against prompts in processing", func(a, b *Candidate) {
			a.ExpectedTokens = 33_000
			b.Starting = 2
		}, 1},
		{"other zone", func(a, _ *Candidate) { a.SameZone = false }, 1},
		{"just started", func(a, _ *Candidate) { a.Cold = true }, 1},
		{"fails part of its requests", func(a, _ *Candidate) { a.FailureShare = 0.4 }, 1},
		{"about to shut down against a full engine", func(a, b *Candidate) {
			a.Leaving = true
			b.ExpectedTokens = 34_000
			b.Starting = 9
		}, 1},
		{"avoided against one about to shut down", func(a, b *Candidate) {
			a.Avoided = true
			b.Leaving = true
		}, 1},
		{"already tried against an avoided one", func(a, b *Candidate) {
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

// TestChooseFallsBackToAvoidedServer checks that an avoided server that is about
// to shut down is chosen when it is the only one, but not for a request that was
// already sent to it.
func TestChooseFallsBackToAvoidedServer(t *testing.T) {
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

// TestLoadTableSpreadsABurst checks that requests that arrive before the next
// report do not all go to the engine that was idle in the last report.
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
		is.True(placed[id] >= 1 && placed[id] <= 3) // spread over all engines
	}
}

func TestLoadTableForgetsFailures(t *testing.T) {
	is := is.New(t)
	l := &LoadTable{Zone: "a"}
	now := boottime.Instant(1_000_000_000)
	server := discovery.BackendServer{ID: "e", Zone: "a", Slots: 6}
	for range 10 {
		failed, _ := l.OpenAt(discovery.BackendServer{ID: "e"}, 0, now)
		failed.End(true, now)
	}
	is.True(l.newCandidate(server, Request{}, now).FailureShare > 0.5)
	later := now.AddMillis(failureForgetMillis + 1)
	is.Equal(l.newCandidate(server, Request{}, later).FailureShare, 0.0) // the failures have expired
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{engineCandidate("b"), engineCandidate("a"), engineCandidate("c")}
	jitter := []float64{0.5, 0.2, 0.1}
	var turns []string
	for turn := range 4 {
		i, ok := chooseBy(RoundRobin{}, candidates, 0, jitter, turn)
		is.True(ok)
		turns = append(turns, candidates[i].Server.ID)
	}
	is.Equal(turns, []string{"a", "b", "c", "a"})

	candidates[0].Open, candidates[1].Open, candidates[2].Open = 1, 1, 2
	least, ok := chooseBy(LeastOutstanding{}, candidates, 0, jitter, 0)
	is.True(ok)
	is.Equal(candidates[least].Server.ID, "a") // fewest open requests; the jitter breaks the tie
	candidates[1].Avoided = true
	candidates[1].Open = 0
	least, _ = chooseBy(LeastOutstanding{}, candidates, 0, jitter, 0)
	is.Equal(candidates[least].Server.ID, "b")

	for i := range candidates {
		candidates[i].Tried = true
	}
	for _, policy := range []Policy{ByForecast{}, RoundRobin{}, LeastOutstanding{}} {
		_, ok := chooseBy(policy, candidates, 0, jitter, 0)
		is.True(!ok)
	}
}

// BenchmarkPlace places a generation on one of several engines that each run ten
// generations of this host.
func BenchmarkPlace(b *testing.B) {
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
					l.OpenAt(discovery.BackendServer{ID: id}, tokens, boottime.Now())
				}
			}
			request := Request{Service: routetable.Service{Engine: &routetable.Engine{MemoryTokens: 34_000}}, Tokens: tokens}
			b.ReportAllocs()
			for b.Loop() {
				l.Place(ready, request, boottime.Now()).Assignment.End(false, boottime.Now())
			}
		})
	}
}
