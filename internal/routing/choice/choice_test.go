package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 3))
}

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Name:             fmt.Sprint("server ", i),
			Zone:             fmt.Sprint("zone ", i%4),
			ForecastPermille: 500,
			MeasuredAt:       now,
		}
	}
	return out
}

func TestChoose(t *testing.T) {
	q := Request{Zone: "zone 0", PromptTokens: 100, PrefixTokens: 100}
	cases := []struct {
		name   string
		change func([]Candidate)
		want   string
		reason Reason
	}{
		{"own zone", func([]Candidate) {}, "server 0", ReasonLeastLoad},
		{"less load in another zone", func(c []Candidate) { c[2].ForecastPermille = 300 }, "server 2", ReasonLeastLoad},
		{"stale load has little weight", func(c []Candidate) {
			c[2].ForecastPermille = 300
			c[2].MeasuredAt = now.Add(-time.Minute)
		}, "server 0", ReasonLeastLoad},
		{"requests sent since the report", func(c []Candidate) { c[0].SentSince = 5 }, "server 1", ReasonLeastLoad},
		{"cached prefix", func(c []Candidate) { c[1].HoldsPrefix = true }, "server 1", ReasonPrefix},
		{"cached prefix under load", func(c []Candidate) {
			c[1].HoldsPrefix = true
			c[1].ForecastPermille = 950
		}, "server 0", ReasonLeastLoad},
		{"draining and refused", func(c []Candidate) {
			c[0].Leaving = true
			c[1].Refused = true
		}, "server 2", ReasonOnly},
		{"refusal has ended", func(c []Candidate) { c[0].RefusingUntil = now }, "server 0", ReasonLeastLoad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(3)
			c.change(all)
			chosen, ok := Choose(q, all, DefaultRules(), newRandom(1), now).(Chosen)
			is.True(ok)
			is.Equal(chosen.Backend, c.want)
			is.Equal(chosen.Reason, c.reason)
		})
	}
}

func TestNoEligibleCandidate(t *testing.T) {
	cases := []struct {
		name   string
		change func([]Candidate) []Candidate
		reason Reason
		at     time.Time
	}{
		{"no candidate", func([]Candidate) []Candidate { return nil }, ReasonNoCandidate, now.Add(time.Second)},
		{"all draining", func(c []Candidate) []Candidate {
			c[0].Leaving, c[1].Leaving = true, true
			return c
		}, ReasonAllLeaving, now.Add(time.Second)},
		{"one draining, one refusing", func(c []Candidate) []Candidate {
			c[0].Leaving = true
			c[1].RefusingUntil = now.Add(time.Minute)
			return c
		}, ReasonAllRefused, now.Add(time.Minute)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			none, ok := Choose(Request{}, c.change(candidates(2)), DefaultRules(), newRandom(1), now).(None)
			is.True(ok)
			is.Equal(none.Reason, c.reason)
			is.Equal(none.RetryAt, c.at)
		})
	}
}

func TestChooseSpreadsLoad(t *testing.T) {
	const seed, requests = 5, 3000
	t.Logf("seed %d", seed)
	is := is.New(t)
	all := candidates(30)
	random := newRandom(seed)
	for range requests {
		chosen := Choose(Request{Zone: "zone 0"}, all, DefaultRules(), random, now).(Chosen)
		for i := range all {
			if all[i].Name == chosen.Backend {
				all[i].SentSince++
			}
		}
	}
	for _, c := range all {
		is.True(c.SentSince > 80)
		is.True(c.SentSince < 120)
	}
}

func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(0, 40).Draw(t, "candidates"))
		allowed := map[string]bool{}
		for i := range all {
			all[i].Leaving = rapid.Bool().Draw(t, "leaving")
			all[i].Refused = rapid.Bool().Draw(t, "refused")
			all[i].HoldsPrefix = rapid.Bool().Draw(t, "prefix")
			all[i].ForecastPermille = rapid.IntRange(0, 2000).Draw(t, "forecast")
			allowed[all[i].Name] = !all[i].Leaving && !all[i].Refused
		}
		rules := DefaultRules()
		rules.Choices = rapid.IntRange(1, 12).Draw(t, "choices")
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		switch d := Choose(Request{}, all, rules, random, now).(type) {
		case Chosen:
			if !allowed[d.Backend] {
				t.Fatalf("chose %s, which is draining or has refused the request", d.Backend)
			}
		case None:
			for name, ok := range allowed {
				if ok {
					t.Fatalf("no backend server chosen although %s is eligible", name)
				}
			}
		}
	})
}

func TestSubset(t *testing.T) {
	is := is.New(t)
	all := candidates(900)
	seen := map[string]int{}
	for e := range 360 {
		zone := fmt.Sprint("zone ", e%4)
		subset := Subset(fmt.Sprint("entry ", e), zone, "", all, 40)
		is.Equal(len(subset), 40)
		own := 0
		for _, c := range subset {
			seen[c.Name]++
			if c.Zone == zone {
				own++
			}
		}
		is.Equal(own, 30)
	}
	is.Equal(len(seen), 900) // every backend server is in the subset of some entry host
}

func TestSubsetOfSmallZone(t *testing.T) {
	is := is.New(t)
	all := candidates(10)
	is.Equal(len(Subset("entry", "zone 9", "", all, 4)), 4)
	is.Equal(len(Subset("entry", "zone 0", "", all, 40)), 10)
	own := Subset("entry", "zone 0", "", all[:1], 1)
	is.Equal(own[0].Name, "server 0")
}

func TestSubsetPrefersTheOwnRegion(t *testing.T) {
	is := is.New(t)
	var all []Candidate
	for n := range 60 {
		zone := n % 6
		all = append(all, Candidate{
			Name:   fmt.Sprint("backend ", n),
			Zone:   fmt.Sprint("zone ", zone),
			Region: fmt.Sprint("region ", zone/2),
		})
	}
	zones := map[string]int{}
	for _, c := range Subset("entry", "zone 2", "region 1", all, 8) {
		zones[c.Zone]++
	}
	is.Equal(zones, map[string]int{"zone 2": 6, "zone 3": 2})
}

func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 200).Draw(t, "candidates"))
		n := rapid.IntRange(1, 50).Draw(t, "n")
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
		before := names(Subset("entry", "zone 1", "", all, n))
		removedName := all[removed].Name
		after := names(Subset("entry", "zone 1", "", append(all[:removed:removed], all[removed+1:]...), n))
		missing := 0
		for name := range before {
			if !after[name] {
				missing++
			}
		}
		if limit := map[bool]int{true: 1, false: 0}[before[removedName]]; missing > limit {
			t.Fatalf("subset lost %d candidates after one was removed, at most %d expected", missing, limit)
		}
	})
}

func names(all []Candidate) map[string]bool {
	out := map[string]bool{}
	for _, c := range all {
		out[c.Name] = true
	}
	return out
}

// BenchmarkChoose measures one decision among 10 candidates (a small
// deployment), 40 (the subset of an entry host), 180 (one of 5 models on 900
// backend servers) and 900 (one model on all of them).
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{10, 40, 180, 900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			all := candidates(size)
			random := newRandom(1)
			b.ReportAllocs()
			for b.Loop() {
				Choose(Request{Zone: "zone 1"}, all, DefaultRules(), random, now)
			}
		})
	}
}

func BenchmarkSubset(b *testing.B) {
	all := candidates(900)
	b.ReportAllocs()
	for b.Loop() {
		Subset("entry 17", "zone 1", "", all, 40)
	}
}
