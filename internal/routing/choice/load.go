package choice

import (
	"math"
	"time"
)

// eligible reports whether the request may be sent to the candidate.
func (c *Candidate) eligible(now time.Time) bool {
	return !c.Leaving && !c.Refused && !c.RefusingUntil.After(now)
}

// reportedLoad returns the load of the last report in thousandths: the higher
// of used and forecast memory plus a share for each waiting request.
func (c *Candidate) reportedLoad(rules Rules) int {
	return max(c.MemoryPermille, c.ForecastPermille) + c.Waiting*rules.WaitingPermille
}

// summary aggregates the eligible candidates.
type summary struct {
	// eligible is the number of candidates that the request may be sent to.
	eligible int
	// mean is the mean of their reported loads, each weighted by its age.
	mean int
	// prefixHolder is the index of the least loaded eligible candidate that
	// holds the prefix, or -1.
	prefixHolder int
}

// summarize aggregates the eligible candidates in one pass.
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
			ageWeight := c.ageWeight(rules, now)
			total += ageWeight * float64(load)
			weight += ageWeight
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

// load returns the estimated load of a candidate: its reported load, which
// moves towards the mean as the report ages, plus the requests sent since. A
// candidate without a report gets the mean.
func (s summary) load(c *Candidate, rules Rules, now time.Time) int {
	sent := c.SentSince * rules.SentPermille
	if c.MeasuredAt.IsZero() {
		return s.mean + sent
	}
	own := c.reportedLoad(rules) - s.mean
	return s.mean + int(c.ageWeight(rules, now)*float64(own)) + sent
}

// ageWeight returns the weight of the last load report: 1 for a new report, 0.5
// at the age of LoadHalfLifeMillis, and towards 0 as the report gets older.
func (c *Candidate) ageWeight(rules Rules, now time.Time) float64 {
	age := max(now.Sub(c.MeasuredAt).Milliseconds(), 0)
	half := float64(rules.LoadHalfLifeMillis)
	return half / (half + float64(age))
}
