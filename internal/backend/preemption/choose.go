package preemption

import (
	"cmp"
	"slices"
)

const (
	// tokensPerCost is the number of recomputed tokens whose cost is StallWeight.
	tokensPerCost = 1000
	// restartBelowTokens is the number of produced tokens below which a restart
	// wastes less than keeping the generation on its engine.
	restartBelowTokens = 8
)

// tier orders generations by the harm that a preemption can do. All generations
// of a lower tier are preempted before any of a higher one.
type tier int

const (
	tierIdempotent tier = iota
	tierNonIdempotent
	tierUrgent
)

// Choose selects the generations to preempt so that the needed memory and batch
// slots become free at the lowest cost.
func Choose(need Need, running []Generation, weights CostWeights) Decision {
	if need.empty() {
		return Keep{Reason: ReasonNoNeed}
	}
	ranked := rank(need, running, weights)
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

// Cost returns the weighted cost of preempting a generation. It rises with the
// tokens to recompute, with the number of earlier preemptions, and with the share
// of the answer already produced, since a generation close to its end would soon
// free its memory by itself.
func Cost(g Generation, weights CostWeights) float64 {
	recompute := float64(g.PromptTokens-g.CachedTokens+g.Produced) / tokensPerCost
	done := float64(g.Produced) / float64(max(g.Produced+g.Remaining, 1))
	return weights.StallWeight*recompute + weights.PreemptionWeight*(done+float64(g.Preemptions))
}

// candidate is a generation that may be preempted, with its sort keys.
type candidate struct {
	Generation
	tier tier
	cost float64
}

// rank returns the generations that may be preempted, in the order in which to
// preempt them.
func rank(need Need, running []Generation, weights CostWeights) []candidate {
	ranked := make([]candidate, 0, len(running))
	for _, g := range running {
		if need.Urgent && !g.preemptibleFor(need) {
			continue
		}
		ranked = append(ranked, candidate{Generation: g, tier: tierOf(g), cost: Cost(g, weights)})
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

// preemptibleFor reports whether a generation may be preempted for the need of an
// urgent one.
func (g Generation) preemptibleFor(need Need) bool {
	return !g.Urgent && (need.Slots <= 0 || g.Priority < need.Priority)
}

// cheapestSingle returns the index of the cheapest generation that frees enough by
// itself, or -1 if there is none. It considers only the tier and priority that are
// preempted first.
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
		return tierNonIdempotent
	default:
		return tierIdempotent
	}
}

// freedTokens returns the memory that preempting the candidate frees, in tokens.
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
