package booking

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/tide"
)

const (
	// horizonCount counts the horizons of a forecast.
	horizonCount = 42
	// evenHorizons counts those that stand evenly spaced at the beginning.
	evenHorizons = 6
	// evenSpacing is the distance between these, in tokens.
	evenSpacing = 8
	// horizonGrowth is the ratio between the later ones.
	horizonGrowth = 1.19
)

// horizons are the numbers of tokens ahead at which memory is forecast.
var horizons = newHorizons()

func newHorizons() [horizonCount]int {
	var out [horizonCount]int
	for i := range out {
		if i < evenHorizons {
			out[i] = i * evenSpacing
			continue
		}
		out[i] = int(float64(out[i-1])*horizonGrowth + 1)
	}
	return out
}

const (
	// leastRisk and mostRisk bound the chance of exceeding the memory that the
	// weights of a policy may ask for.
	leastRisk = 0.0005
	mostRisk  = 0.5
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

// profile is the mean and the variance of the memory at each horizon, where
// generations that have ended by then use none. Generations are taken as
// independent.
type profile struct {
	mean     [horizonCount]float64
	variance [horizonCount]float64
}

// add includes one generation with the given distribution of lengths.
func (p *profile) add(c *tide.Curve, r Request, produced, blockTokens int) {
	reached := c.Survival(produced)
	for i, ahead := range horizons {
		length := produced + ahead
		if r.MaxTokens > 0 && length >= r.MaxTokens && ahead > 0 {
			return
		}
		alive := 1.0
		if ahead > 0 {
			alive = c.ConditionalFrom(reached, produced, ahead)
		}
		size := float64(roundUp(r.PromptTokens+length, blockTokens))
		p.mean[i] += alive * size
		p.variance[i] += alive * (1 - alive) * size * size
	}
}

// peak returns the highest forecast, deviations above the mean.
func (p *profile) peak(deviations float64) (tokens, ahead int) {
	highest := 0.0
	for i := range horizons {
		at := p.mean[i] + deviations*math.Sqrt(p.variance[i])
		if at > highest {
			highest = at
			ahead = horizons[i]
		}
	}
	return int(math.Ceil(highest)), ahead
}

// forecast returns the forecast of a profile against the memory that a request
// of the given urgency may use.
func (b *Book) forecast(p *profile, urgent bool) Forecast {
	peak, ahead := p.peak(b.Policy.deviations())
	return Forecast{
		NowTokens:   int(p.mean[0]),
		PeakTokens:  peak,
		PeakAhead:   ahead,
		LimitTokens: b.limitTokens(urgent),
	}
}

// limitTokens returns the memory that requests of the given urgency may use.
func (b *Book) limitTokens(urgent bool) int {
	if urgent {
		return b.CapacityTokens
	}
	return b.CapacityTokens - b.CapacityTokens*b.Policy.UrgentHeadroomPermille/1000
}

// profile returns the profile of all running generations.
func (b *Book) profile() *profile {
	p := &profile{}
	for _, r := range b.running {
		p.add(b.Lengths.Curve(r.Class, r.Account), r.Request, r.Produced, b.BlockTokens)
	}
	return p
}

// deviations returns how many standard deviations above its mean the memory
// must fit. A policy that weighs stalls more accepts more risk of preemption.
func (p Policy) deviations() float64 {
	risk := (1 - p.MemoryQuantile) * p.StallWeight / p.PreemptionWeight
	risk = math.Max(leastRisk, math.Min(risk, mostRisk))
	return math.Sqrt2 * math.Erfinv(1-2*risk)
}

func roundUp(n, unit int) int {
	if unit <= 1 {
		return n
	}
	return (n + unit - 1) / unit * unit
}
