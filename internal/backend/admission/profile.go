package admission

import (
	"math"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

const (
	// horizonCount is the number of horizons of a forecast.
	horizonCount = 42
	// evenHorizons is the number of evenly spaced horizons at the beginning.
	evenHorizons = 6
	// evenSpacing is the distance between the evenly spaced horizons, in tokens.
	evenSpacing = 8
	// horizonGrowth is the ratio between successive later horizons.
	horizonGrowth = 1.19
	// minAlive is the probability of still running below which a generation is
	// assumed to have ended.
	minAlive = 0.001
)

// horizons are the points at which memory is forecast, as numbers of further
// tokens that each generation has produced by then.
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

// profile holds the mean and the variance of the memory use at each horizon. A
// generation that has ended by then uses no memory. Generations are assumed to be
// independent of each other.
type profile struct {
	mean     [horizonCount]float64
	variance [horizonCount]float64
	// prefixes holds one entry for each shared prefix.
	prefixes []sharedPrefix
}

// sharedPrefix is a prompt prefix whose memory several generations share.
type sharedPrefix struct {
	hash uint64
	// unused is the probability, at each horizon, that none of these generations
	// still runs.
	unused [horizonCount]float64
}

// clone returns a copy that can be changed independently.
func (p *profile) clone() *profile {
	out := *p
	out.prefixes = slices.Clone(p.prefixes)
	return &out
}

// add adds one generation whose length follows the distribution c.
func (p *profile) add(c *outputlength.Curve, r Request, produced, blockTokens int) {
	shared := p.prefix(r)
	reached := c.Survival(produced)
	for i, ahead := range horizons {
		alive := aliveAt(c, r, reached, produced, ahead)
		if alive < minAlive {
			return
		}
		size := roundUp(r.PromptTokens+produced+ahead, blockTokens)
		if shared != nil {
			// A shared prefix uses memory once, so it is added only for the case
			// that no generation added before still runs.
			size -= r.PrefixTokens
			p.mean[i] += float64(r.PrefixTokens) * shared.unused[i] * alive
			shared.unused[i] *= 1 - alive
		}
		own := float64(size)
		p.mean[i] += alive * own
		p.variance[i] += alive * (1 - alive) * own * own
	}
}

// aliveAt returns the probability that a generation still runs at a horizon. The
// caller passes c.Survival(produced) as reached.
func aliveAt(c *outputlength.Curve, r Request, reached float64, produced, ahead int) float64 {
	if ahead == 0 {
		return 1
	}
	if r.MaxTokens > 0 && produced+ahead >= r.MaxTokens {
		return 0
	}
	return c.ConditionalFrom(reached, produced, ahead)
}

// prefix returns the shared prefix of a request, or nil if it has none.
func (p *profile) prefix(r Request) *sharedPrefix {
	if r.PrefixHash == 0 {
		return nil
	}
	for i := range p.prefixes {
		if p.prefixes[i].hash == r.PrefixHash {
			return &p.prefixes[i]
		}
	}
	added := sharedPrefix{hash: r.PrefixHash}
	for i := range added.unused {
		added.unused[i] = 1
	}
	p.prefixes = append(p.prefixes, added)
	return &p.prefixes[len(p.prefixes)-1]
}

// peak returns the highest memory use over all horizons, taken the given number of
// standard deviations above the mean, and the horizon at which it occurs.
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

// profiles are the profiles against which requests are admitted.
type profiles struct {
	// all includes all running generations.
	all *profile
	// urgent includes only the urgent ones, for which the others can be
	// preempted.
	urgent *profile
}

// profiles returns the profiles of the running generations.
func (c *Controller) profiles() profiles {
	p := profiles{all: &profile{}, urgent: &profile{}}
	for _, r := range c.running {
		c.include(p.all, r.Request, r.Produced)
		if r.Urgent {
			c.include(p.urgent, r.Request, r.Produced)
		}
	}
	return p
}

// include adds a generation to a profile.
func (c *Controller) include(p *profile, r Request, produced int) {
	p.add(c.Lengths.Curve(r.Class, r.Account), r, produced, c.BlockTokens)
}
