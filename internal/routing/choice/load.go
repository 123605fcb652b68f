package choice

import (
	"math"
	"time"
)

// eligible tells whether a candidate may be sent the request.
func (c *Candidate) eligible(now time.Time) bool {
	return !c.Leaving && !c.Refused && !c.RefusingUntil.After(now)
}

// reportedLoad returns the load that a candidate reported.
func (c *Candidate) reportedLoad(rules Rules) int {
	return max(c.MemoryPermille, c.ForecastPermille) + c.Waiting*rules.WaitingPermille
}

// summary is what one pass over all candidates yields.
type summary struct {
	// eligible counts the candidates that may be sent the request.
	eligible int
	// mean is the mean of their measured loads, each weighted by its trust.
	mean int
	// prefixHolder is the index of the least loaded one that holds the prefix, or -1.
	prefixHolder int
}

// summarize passes over all candidates once.
func summarize(all []Candidate, rules Rules, now time.Time) summary {
	s := summary{prefixHolder: -1}
	total, weight, lowest := 0.0, 0.0, math.MaxInt
	for i := range all {
		c := &all[i]
		if !c.eligible(now) {
			continue
		}
		s.eligible++
		load := c.reportedLoad(rules)
		if !c.MeasuredAt.IsZero() {
			trust := c.ageWeight(rules, now)
			total += trust * float64(load)
			weight += trust
		}
		if c.HoldsPrefix && load < lowest {
			s.prefixHolder, lowest = i, load
		}
	}
	if weight > 0 {
		s.mean = int(total / weight)
	}
	return s
}

// load returns the load of a candidate: what it reported, drawn towards the
// mean with age, and what was sent there since.
func (s summary) load(c *Candidate, rules Rules, now time.Time) int {
	sent := c.SentSince * rules.SentPermille
	if c.MeasuredAt.IsZero() {
		return s.mean + sent
	}
	own := c.reportedLoad(rules) - s.mean
	return s.mean + int(c.ageWeight(rules, now)*float64(own)) + sent
}

// ageWeight is the weight of a measured load, between 0 and 1: a half at the age
// that the rules name.
func (c *Candidate) ageWeight(rules Rules, now time.Time) float64 {
	age := max(now.Sub(c.MeasuredAt).Milliseconds(), 0)
	half := float64(rules.LoadHalfLifeMillis)
	return half / (half + float64(age))
}
