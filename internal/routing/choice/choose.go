package choice

import (
	"math/rand/v2"
	"time"
)

const (
	// mostChoices bounds the candidates drawn for one decision.
	mostChoices = 8
	// comeBackMillis is when to come back if no candidate says so.
	comeBackMillis = 1000
)

// Choose draws a few of the eligible candidates at random, adds the least
// loaded one that holds the prefix, and picks the one with the lowest score.
func Choose(q Request, all []Candidate, rules Rules, random *rand.Rand, now time.Time) Decision {
	s := survey(all, rules, now)
	if s.eligible == 0 {
		return none(all, now)
	}
	c := contest{request: q, rules: rules, survey: s, now: now}
	if s.eligible <= min(rules.Choices, mostChoices) {
		c.enterAll(all)
	} else {
		c.enterDrawn(all, random)
	}
	if s.holder >= 0 {
		c.enter(s.holder, &all[s.holder])
	}
	return c.decide(all)
}

// contest compares the candidates that were drawn.
type contest struct {
	request Request
	rules   Rules
	survey  summary
	now     time.Time

	// entered holds the indexes of the candidates; the first count are set.
	entered [mostChoices + 1]int
	loads   [mostChoices + 1]int
	scores  [mostChoices + 1]int
	count   int
	// best is the place of the lowest score.
	best int
}

// enterAll enters all eligible candidates.
func (c *contest) enterAll(all []Candidate) {
	for i := range all {
		if all[i].eligible(c.now) {
			c.enter(i, &all[i])
		}
	}
}

// enterDrawn enters candidates drawn at random.
func (c *contest) enterDrawn(all []Candidate, random *rand.Rand) {
	wanted := min(c.rules.Choices, mostChoices)
	for c.count < wanted {
		i := random.IntN(len(all))
		if all[i].eligible(c.now) {
			c.enter(i, &all[i])
		}
	}
}

// enter adds one candidate unless it was entered before.
func (c *contest) enter(index int, candidate *Candidate) {
	for _, other := range c.entered[:c.count] {
		if other == index {
			return
		}
	}
	load := c.survey.load(candidate, c.rules, c.now)
	c.entered[c.count] = index
	c.loads[c.count] = load
	c.scores[c.count] = load + c.distance(candidate) - c.affinity(candidate, load)
	if c.scores[c.count] < c.scores[c.best] {
		c.best = c.count
	}
	c.count++
}

// distance returns what another availability zone or region is held against.
func (c *contest) distance(candidate *Candidate) int {
	switch {
	case candidate.Region != c.request.Region:
		return c.rules.RegionPermille
	case candidate.Zone != c.request.Zone:
		return c.rules.ZonePermille
	default:
		return 0
	}
}

// affinity returns what a cached prefix takes off the score.
func (c *contest) affinity(candidate *Candidate, load int) int {
	if !candidate.HoldsPrefix || load >= c.rules.PrefixLimitPermille {
		return 0
	}
	return c.rules.PrefixPermille * c.request.PrefixTokens / max(c.request.PromptTokens, 1)
}

// decide returns the candidate with the lowest score.
func (c *contest) decide(all []Candidate) Chosen {
	considered := make([]Considered, c.count)
	for i := range considered {
		considered[i] = Considered{
			Backend:       all[c.entered[i]].Name,
			LoadPermille:  c.loads[i],
			ScorePermille: c.scores[i],
		}
	}
	return Chosen{
		Backend:    all[c.entered[c.best]].Name,
		Reason:     c.reason(all),
		Considered: considered,
	}
}

// reason tells whether the winner would have lost without its cached prefix.
func (c *contest) reason(all []Candidate) Reason {
	if c.count == 1 {
		return ReasonOnly
	}
	winner := &all[c.entered[c.best]]
	bare := c.scores[c.best] + c.affinity(winner, c.loads[c.best])
	for i, score := range c.scores[:c.count] {
		if i != c.best && score < bare {
			return ReasonPrefix
		}
	}
	return ReasonLeastLoad
}

// none returns why no candidate is eligible.
func none(all []Candidate, now time.Time) None {
	out := None{Reason: ReasonNoCandidate, RetryAt: now.Add(comeBackMillis * time.Millisecond)}
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
