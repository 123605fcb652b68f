package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
)

// Identifiers of the random number streams. Each use has its own stream, so that a
// change of one use does not change the numbers of the others.
const (
	streamArrivals = iota + 1
	streamAccounts
	streamEntry
)

// arrivals returns all requests of a trial, ordered by class and then by time.
func (t Trial) arrivals() []*call {
	factors := t.lengthFactors()
	length := int64(t.Seconds) * microsPerSecond
	var all []*call
	for i := range t.Deployment.Classes {
		random := rand.New(rand.NewPCG(t.Seed, uint64(streamArrivals+100*i)))
		all = append(all, t.classArrivals(&t.Deployment.Classes[i], factors, length, random)...)
	}
	for i, c := range all {
		c.key = uint64(i + 1)
		c.id = fmt.Sprintf("%s-%06d", c.class.Name, i)
	}
	return all
}

// classArrivals returns the requests of one class, in order of time. It samples a
// Poisson process at the highest rate and keeps each request with the probability
// that its current rate requires (thinning).
func (t Trial) classArrivals(class *Class, factors []float64, length int64, random *rand.Rand) []*call {
	s := t.Scenario
	highest := class.PerSecond * s.Load * max(s.BurstFactor, 1) * max(s.FloodFactor, 1)
	var out []*call
	at := int64(0)
	for {
		at += int64(random.ExpFloat64() / highest * microsPerSecond)
		if at >= length {
			return out
		}
		account := sampleIndex(t.Deployment.AccountShares, random)
		keep := random.Float64()
		tokens := sampleLength(class, factors[account], s.HeavyTail, random)
		rate := class.PerSecond * s.loadFactor(at)
		if account == 0 && !class.Urgent && s.flooding(at, length) {
			rate *= s.FloodFactor
		}
		if keep*highest < rate {
			out = append(out, newCall(class, account, tokens, at))
		}
	}
}

// lengthFactors returns a factor on the median answer length for each account, from a
// log-normal distribution with deviation 0.3.
func (t Trial) lengthFactors() []float64 {
	random := rand.New(rand.NewPCG(t.Seed, streamAccounts))
	out := make([]float64, len(t.Deployment.AccountShares))
	for i := range out {
		out[i] = math.Exp(0.3 * random.NormFloat64())
	}
	return out
}

// sampleLength samples the length of an answer, in tokens, from a log-normal
// distribution. A heavy tail has a larger deviation and the same mean.
func sampleLength(class *Class, factor float64, heavy bool, random *rand.Rand) int {
	deviation, median := class.Deviation, class.MedianTokens*factor
	if heavy {
		wide := heavyTailFactor * deviation
		median *= math.Exp((deviation*deviation - wide*wide) / 2)
		deviation = wide
	}
	tokens := int(median * math.Exp(deviation*random.NormFloat64()))
	return max(1, min(tokens, class.MaxTokens))
}

// sampleIndex picks an index at random, with probabilities in proportion to weights.
func sampleIndex(weights []float64, random *rand.Rand) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := random.Float64() * total
	for i, w := range weights {
		at -= w
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
