package preemption

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var equalWeights = CostWeights{StallWeight: 1, PreemptionWeight: 1}

func TestChoose(t *testing.T) {
	old := Generation{RequestID: "old", Repeatable: true, PromptTokens: 100, Produced: 900, Delivered: 900, Remaining: 900}
	young := Generation{RequestID: "young", Repeatable: true, PromptTokens: 100, Produced: 90, Delivered: 90, Remaining: 900}
	fresh := Generation{RequestID: "fresh", Repeatable: true, PromptTokens: 100, Remaining: 900}
	once := Generation{RequestID: "once", PromptTokens: 100, Produced: 5, Remaining: 900}
	urgent := Generation{RequestID: "urgent", Urgent: true, Repeatable: true, PromptTokens: 100, Remaining: 20}
	low := Generation{RequestID: "low", Repeatable: true, Priority: -1, PromptTokens: 100, Produced: 500, Delivered: 500}
	again := young
	again.RequestID, again.Preemptions = "again", 1

	cases := []struct {
		name    string
		need    Need
		running []Generation
		want    []string
	}{
		{"the generation with the lower cost is preempted", Need{Tokens: 50}, []Generation{old, young}, []string{"young"}},
		{"a non-idempotent generation is preempted last", Need{Tokens: 50}, []Generation{once, old}, []string{"old"}},
		{"a non-idempotent generation is preempted before an urgent one", Need{Tokens: 50}, []Generation{urgent, once}, []string{"once"}},
		{"the lower priority is preempted first", Need{Tokens: 50}, []Generation{young, low}, []string{"low"}},
		{"a generation that was preempted before is kept", Need{Tokens: 50}, []Generation{again, young}, []string{"young"}},
		{"one generation that frees enough by itself", Need{Tokens: 500}, []Generation{young, fresh, old}, []string{"old"}},
		{"several generations when none frees enough by itself", Need{Tokens: 1100}, []Generation{young, old}, []string{"young", "old"}},
		{"nothing to free", Need{}, []Generation{young}, nil},
		{"preempting all would not free enough", Need{Tokens: 5000}, []Generation{young}, nil},
		{"a slot", Need{Slots: 1, Urgent: true, Priority: 1}, []Generation{old, young}, []string{"young"}},
		{"slots and memory", Need{Slots: 2, Tokens: 50, Urgent: true, Priority: 1}, []Generation{old, young, fresh}, []string{"fresh", "young"}},
		{"a slot is not taken from the same priority", Need{Slots: 1, Urgent: true}, []Generation{young}, nil},
		{"an urgent generation does not preempt an urgent one", Need{Tokens: 50, Urgent: true}, []Generation{urgent}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			if p, ok := Choose(c.need, c.running, equalWeights).(Preempt); ok {
				for _, v := range p.Victims {
					got = append(got, v.RequestID)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

func TestResume(t *testing.T) {
	cases := []struct {
		name string
		g    Generation
		want Resume
	}{
		{"nothing delivered", Generation{Repeatable: true, PromptTokens: 10}, Restart{}},
		{"delivered", Generation{Repeatable: true, PromptTokens: 10, Produced: 2, Delivered: 2}, Recompute{Tokens: 12}},
		{"many tokens produced", Generation{Repeatable: true, PromptTokens: 10, Produced: 500}, Recompute{Tokens: 510}},
		{"non-idempotent", Generation{PromptTokens: 10}, Recompute{Tokens: 10}},
		{"cached prefix", Generation{PromptTokens: 10, CachedTokens: 4, Produced: 1}, Recompute{Tokens: 7}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, ok := Choose(Need{Tokens: 1}, []Generation{c.g}, equalWeights).(Preempt)
			is.True(ok)
			is.Equal(p.Victims[0].Resume, c.want)
		})
	}
}

func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := rapid.SliceOfN(rapid.Custom(randomGeneration), 0, 20).Draw(t, "running")
		for i := range running {
			running[i].RequestID = fmt.Sprint(i)
		}
		need := Need{Tokens: rapid.IntRange(1, 5000).Draw(t, "need")}
		p, ok := Choose(need, running, equalWeights).(Preempt)
		if !ok {
			return
		}
		if p.FreedTokens < need.Tokens {
			t.Fatalf("victims free %d tokens, need %d", p.FreedTokens, need.Tokens)
		}
		checkTiers(t, running, p)
	})
}

// checkTiers fails when a generation that is urgent or not idempotent is preempted
// while an idempotent one that is not urgent is kept.
func checkTiers(t *rapid.T, running []Generation, p Preempt) {
	chosen := map[string]bool{}
	for _, v := range p.Victims {
		chosen[v.RequestID] = true
	}
	risky, kept := false, false
	for _, g := range running {
		risky = risky || (chosen[g.RequestID] && tierOf(g) > tierIdempotent)
		kept = kept || (!chosen[g.RequestID] && tierOf(g) == tierIdempotent)
	}
	if risky && kept {
		t.Fatalf("an urgent or non-idempotent generation is preempted before an idempotent one")
	}
}

func randomGeneration(t *rapid.T) Generation {
	g := Generation{
		Priority:     rapid.IntRange(-1, 1).Draw(t, "priority"),
		Urgent:       rapid.Bool().Draw(t, "urgent"),
		Repeatable:   rapid.Bool().Draw(t, "repeatable"),
		PromptTokens: rapid.IntRange(1, 500).Draw(t, "prompt"),
		Produced:     rapid.IntRange(0, 500).Draw(t, "produced"),
	}
	g.Delivered = rapid.IntRange(0, g.Produced).Draw(t, "delivered")
	return g
}

func BenchmarkChoose(b *testing.B) {
	running := make([]Generation, 64)
	for i := range running {
		running[i] = Generation{RequestID: fmt.Sprint(i), Repeatable: i%2 == 0, PromptTokens: 100, Produced: i * 10}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(Need{Tokens: 64}, running, equalWeights)
	}
}

func TestEnginePriority(t *testing.T) {
	is := is.New(t)
	is.True(EnginePriority(0, false) > EnginePriority(0, true))
	is.True(EnginePriority(1, true) > EnginePriority(0, false))
	is.True(EnginePriority(-1, false) < EnginePriority(0, true))
}
