package choice

import (
	"math/rand/v2"
	"time"
)

const (
	// maxChoices is the maximum number of candidates sampled for one decision.
	maxChoices = 8
	// defaultRetryMillis is the delay until a retry when no candidate has a
	// RefusingUntil in the future.
	defaultRetryMillis = 1000
)

// Choose samples a few of the eligible candidates at random, adds the least
// loaded one that holds the prefix, and returns the one with the lowest score.
// If no more candidates are eligible than it would sample, it compares them all.
func Choose(q Request, all []Candidate, rules Rules, random *rand.Rand, now time.Time) Decision {
	s := summarize(all, rules, now)
	if s.eligible == 0 {
		return noneDecision(all, now)
	}
	c := comparison{request: q, rules: rules, summary: s, now: now}
	if s.eligible <= min(rules.Choices, maxChoices) {
		c.addAll(all)
	} else {
		c.addSampled(all, random)
	}
	if s.prefixHolder >= 0 {
		c.add(s.prefixHolder, &all[s.prefixHolder])
	}
	return c.decide(all)
}

// comparison holds the compared candidates with their loads and scores.
type comparison struct {
	request Request
	rules   Rules
	summary summary
	now     time.Time

	// indexes, loads and scores describe the compared candidates; only their
	// first count elements are set. An index refers to the slice of all
	// candidates.
	indexes [maxChoices + 1]int
	loads   [maxChoices + 1]int
	scores  [maxChoices + 1]int
	count   int
	// best is the position of the lowest score in scores.
	best int
}

// addAll adds all eligible candidates.
func (c *comparison) addAll(all []Candidate) {
	for i := range all {
		if all[i].eligible(c.now) {
			c.add(i, &all[i])
		}
	}
}

// addSampled adds eligible candidates sampled at random.
func (c *comparison) addSampled(all []Candidate, random *rand.Rand) {
	wanted := min(c.rules.Choices, maxChoices)
	for c.count < wanted {
		i := random.IntN(len(all))
		if all[i].eligible(c.now) {
			c.add(i, &all[i])
		}
	}
}

// add adds one candidate unless it is already part of the comparison.
func (c *comparison) add(index int, candidate *Candidate) {
	for _, other := range c.indexes[:c.count] {
		if other == index {
			return
		}
	}
	load := c.summary.load(candidate, c.rules, c.now)
	c.indexes[c.count] = index
	c.loads[c.count] = load
	c.scores[c.count] = load + c.distance(candidate) - c.affinity(candidate, load)
	if c.scores[c.count] < c.scores[c.best] {
		c.best = c.count
	}
	c.count++
}

// distance returns the score penalty for another availability zone or region.
func (c *comparison) distance(candidate *Candidate) int {
	switch {
	case candidate.Region != c.request.Region:
		return c.rules.RegionPermille
	case candidate.Zone != c.request.Zone:
		return c.rules.ZonePermille
	default:
		return 0
	}
}

// affinity returns the score reduction for a cached prefix.
func (c *comparison) affinity(candidate *Candidate, load int) int {
	if !candidate.HoldsPrefix || load >= c.rules.PrefixLimitPermille {
		return 0
	}
	return c.rules.PrefixPermille * c.request.PrefixTokens / max(c.request.PromptTokens, 1)
}

// decide returns the candidate with the lowest score.
func (c *comparison) decide(all []Candidate) Chosen {
	considered := make([]Considered, c.count)
	for i := range considered {
		considered[i] = Considered{
			Backend:       all[c.indexes[i]].Name,
			LoadPermille:  c.loads[i],
			ScorePermille: c.scores[i],
		}
	}
	return Chosen{
		Backend:    all[c.indexes[c.best]].Name,
		Reason:     c.reason(all),
		Considered: considered,
	}
}

// reason returns why the best candidate was chosen. It is ReasonPrefix if
// another candidate would have had a lower score without the cached prefix.
func (c *comparison) reason(all []Candidate) Reason {
	if c.count == 1 {
		return ReasonOnly
	}
	winner := &all[c.indexes[c.best]]
	bare := c.scores[c.best] + c.affinity(winner, c.loads[c.best])
	for i, score := range c.scores[:c.count] {
		if i != c.best && score < bare {
			return ReasonPrefix
		}
	}
	return ReasonLeastLoad
}

// noneDecision returns why no candidate is eligible and the earliest useful
// retry time.
func noneDecision(all []Candidate, now time.Time) None {
	out := None{Reason: ReasonNoCandidate, RetryAt: now.Add(defaultRetryMillis * time.Millisecond)}
	earliest := time.Time{}
	for i := range all {
		if all[i].Leaving {
			if out.Reason == ReasonNoCandidate {
				out.Reason = ReasonAllLeaving
			}
			continue
		}
		out.Reason = ReasonAllRefused
		until := all[i].RefusingUntil
		if until.After(now) && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	if !earliest.IsZero() {
		out.RetryAt = earliest
	}
	return out
}
