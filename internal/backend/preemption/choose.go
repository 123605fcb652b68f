package preemption

import (
	"cmp"
	"slices"
)

const (
	// tokensPerCost is the unit of StallWeight.
	tokensPerCost = 1000
	// restartBelowTokens is the number of produced tokens below which a restart
	// wastes less than keeping the place on the engine.
	restartBelowTokens = 8
)

// tier orders generations by what a preemption puts at risk. A lower tier is
// exhausted before the next one is touched.
type tier int

const (
	tierRetryable tier = iota
	tierNonRetryable
	tierUrgent
)

// Choose returns the generations to preempt so that the needed memory and
// places come free at the least cost.
func Choose(need Need, running []Generation, rules CostWeights) Decision {
	if need.empty() {
		return Keep{Reason: ReasonNoNeed}
	}
	ranked := rank(need, running, rules)
	if i := cheapestSingle(need, ranked); i >= 0 {
		return Preempt{Victims: []Victim{ranked[i].victim()}, FreedTokens: ranked[i].freedTokens()}
	}
	freed := 0
	var victims []Victim
	for _, r := range ranked {
		victims = append(victims, r.victim())
		freed += r.freedTokens()
		if need.met(len(victims), freed) {
			return Preempt{Victims: victims, FreedTokens: freed}
		}
	}
	return Keep{Reason: ReasonTooFew}
}

// Cost returns the weighted cost of preempting a generation: the preemption,
// the context computed again, and the memory it would soon have freed itself.
func Cost(g Generation, rules CostWeights) float64 {
	rebuild := float64(g.PromptTokens-g.CachedTokens+g.Produced) / tokensPerCost
	done := float64(g.Produced) / float64(max(g.Produced+g.Remaining, 1))
	return rules.StallWeight*rebuild + rules.PreemptionWeight*(done+float64(g.Preemptions))
}

// candidate is a generation with its place in the order of preemption.
type candidate struct {
	Generation
	tier tier
	cost float64
}

// rank returns the generations that may be preempted, the first to go first.
func rank(need Need, running []Generation, rules CostWeights) []candidate {
	ranked := make([]candidate, 0, len(running))
	for _, g := range running {
		if need.Urgent && !g.preemptibleFor(need) {
			continue
		}
		ranked = append(ranked, candidate{Generation: g, tier: tierOf(g), cost: Cost(g, rules)})
	}
	slices.SortFunc(ranked, func(first, second candidate) int {
		return cmp.Or(
			cmp.Compare(first.tier, second.tier),
			cmp.Compare(first.Priority, second.Priority),
			cmp.Compare(first.cost, second.cost),
			cmp.Compare(first.RequestID, second.RequestID),
		)
	})
	return ranked
}

// preemptibleFor tells whether a generation may make room for an urgent one.
func (g Generation) preemptibleFor(need Need) bool {
	return !g.Urgent && (need.Slots <= 0 || g.Priority < need.Priority)
}

// cheapestSingle returns the index of the cheapest generation that frees enough alone,
// within the tier and priority that go first, or -1.
func cheapestSingle(need Need, ranked []candidate) int {
	for i, r := range ranked {
		if r.tier != ranked[0].tier || r.Priority != ranked[0].Priority {
			return -1
		}
		if need.met(1, r.freedTokens()) {
			return i
		}
	}
	return -1
}

func tierOf(g Generation) tier {
	switch {
	case g.Urgent:
		return tierUrgent
	case !g.Repeatable:
		return tierNonRetryable
	default:
		return tierRetryable
	}
}

// freedTokens returns the memory that the preemption frees, in tokens.
func (c candidate) freedTokens() int {
	return c.PromptTokens - c.CachedTokens + c.Produced
}

func (c candidate) victim() Victim {
	return Victim{RequestID: c.RequestID, Cost: c.cost, Resume: c.resumption()}
}

func (c candidate) resumption() Resume {
	if c.Repeatable && c.Delivered == 0 && c.Produced < restartBelowTokens {
		return Restart{}
	}
	return Recompute{Tokens: c.freedTokens()}
}
