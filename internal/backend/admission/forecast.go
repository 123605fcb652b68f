package admission

import (
	"math"
)

const (
	// minRisk and mostRisk bound the chance of exceeding the memory that the
	// weights of a policy may ask for.
	minRisk = 0.0005
	maxRisk = 0.5
)

// Forecast is the memory that a set of generations will reach, in tokens of
// context.
type Forecast struct {
	// NowTokens is the memory in use.
	NowTokens int
	// PeakTokens is the highest forecast at the policy's quantile.
	PeakTokens int
	// PeakAhead is the number of tokens ahead at which the peak lies.
	PeakAhead int
	// LimitTokens is the memory that the peak was compared with.
	LimitTokens int
}

// fits tells whether the peak is within the limit.
func (f Forecast) fits() bool {
	return f.PeakTokens <= f.LimitTokens
}

// forecast returns the forecast of a profile against the memory that a request
// of the given urgency may use.
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

// deviations returns how many standard deviations above its mean the memory
// must fit. A policy that weighs stalls more accepts more risk of preemption.
func (p Policy) deviations() float64 {
	risk := (1 - p.MemoryQuantile) * p.StallWeight / p.PreemptionWeight
	risk = math.Max(minRisk, math.Min(risk, maxRisk))
	return math.Sqrt2 * math.Erfinv(1-2*risk)
}

func roundUp(n, unit int) int {
	if unit <= 1 {
		return n
	}
	return (n + unit - 1) / unit * unit
}
