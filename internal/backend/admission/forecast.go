package admission

import (
	"math"
)

const (
	// minRisk and maxRisk bound the probability of exceeding the memory that a
	// policy can accept through its weights.
	minRisk = 0.0005
	maxRisk = 0.5
)

// Forecast predicts the memory use of a set of generations, in tokens of
// context.
type Forecast struct {
	// NowTokens is the memory in use now.
	NowTokens int
	// PeakTokens is the highest predicted use over all horizons, at the policy's
	// quantile.
	PeakTokens int
	// PeakAhead is the horizon of the peak: how many further tokens each
	// generation has produced by then.
	PeakAhead int
	// LimitTokens is the memory limit that the peak is compared with.
	LimitTokens int
}

// fits reports whether the peak is within the limit.
func (f Forecast) fits() bool {
	return f.PeakTokens <= f.LimitTokens
}

// forecast returns the forecast of a profile. Its limit is the memory that
// requests of the given urgency may use.
func (c *Controller) forecast(p *profile, urgent bool) Forecast {
	peak, ahead := p.peak(c.Policy.deviations())
	return Forecast{
		NowTokens:   int(p.mean[0]),
		PeakTokens:  peak,
		PeakAhead:   ahead,
		LimitTokens: c.limitTokens(urgent),
	}
}

// limitTokens returns the memory that requests of the given urgency may use.
func (c *Controller) limitTokens(urgent bool) int {
	if urgent {
		return c.CapacityTokens
	}
	return c.CapacityTokens - c.CapacityTokens*c.Policy.UrgentHeadroomPermille/1000
}

// deviations returns how many standard deviations are added to the mean memory
// use before it is compared with the limit. The more weight a policy gives to
// stalls, the more risk of preemption it accepts.
func (p Policy) deviations() float64 {
	risk := (1 - p.MemoryQuantile) * p.StallWeight / p.PreemptionWeight
	risk = math.Max(minRisk, math.Min(risk, maxRisk))
	return math.Sqrt2 * math.Erfinv(1-2*risk)
}

// roundUp rounds n up to a multiple of unit.
func roundUp(n, unit int) int {
	if unit <= 1 {
		return n
	}
	return (n + unit - 1) / unit * unit
}
