package outputestimate

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// arrival is a request of a made load: an output with a hint that is often far off.
type arrival struct{ hint, output int }

// arrivals draws outputs around a median, and hints with a given spread around them.
func arrivals(seed uint64, count int, median, spread, hintSpread float64, maximum int) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	all := make([]arrival, count)
	for i := range all {
		output := median * math.Exp(spread*random.NormFloat64())
		hint := output * math.Exp(hintSpread*random.NormFloat64())
		all[i] = arrival{hint: int(hint) + 1, output: min(int(output)+1, maximum)}
	}
	return all
}

// TestModelCorrectsHints replays a load whose hints are right at the median and off
// by a factor of three, up or down, as often as not. The estimates must be nearer to
// the outputs than the hints are, on average and in sum.
func TestModelCorrectsHints(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		is := is.New(t)
		const maximum = 2216
		m := &Model{}
		all := arrivals(seed, 400, 440, 0.9, 1.2, maximum)
		var hintOff, estimateOff float64
		hints, estimates, outputs := 0, 0, 0
		for i, a := range all {
			if i >= len(all)/2 {
				estimate := m.Estimate("draft", a.hint, maximum).Remaining(0)
				hintOff += math.Abs(float64(min(a.hint, maximum) - a.output))
				estimateOff += math.Abs(float64(estimate - a.output))
				hints += min(a.hint, maximum)
				estimates += estimate
				outputs += a.output
			}
			s := m.Begin("draft", a.hint, maximum)
			s.SetProduced(a.output)
			s.End(true)
		}
		t.Logf("seed %d: off by %.0f (hints), %.0f (estimates); in sum %d, %d of %d", seed, hintOff, estimateOff, hints, estimates, outputs)
		is.True(estimateOff < hintOff)
		is.True(math.Abs(float64(estimates-outputs)) < 0.15*float64(outputs))
	}
}

// TestModelCountsOpenGenerations checks that a young process, for which only short
// generations have ended so far, does not take all outputs to be short.
func TestModelCountsOpenGenerations(t *testing.T) {
	is := is.New(t)
	m := &Model{}
	// Sixty generations have produced up to 200 tokens; the longer ones still run.
	const soFar = 200
	outputs := 0
	for _, a := range arrivals(7, 60, 440, 0.9, 1.2, 2216) {
		outputs += a.output
		s := m.Begin("draft", a.hint, 2216)
		s.SetProduced(min(a.output, soFar))
		if a.output <= soFar {
			s.End(true)
		}
	}
	mean := float64(outputs) / 60
	got := float64(m.Estimate("draft", 440, 2216).Remaining(0))
	is.True(got > 0.6*mean)
	is.True(got < 1.6*mean)
}

// TestEstimate checks the distribution itself.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	e := Estimate{MedianTokens: 400, Spread: 0.7, MaxTokens: 2000}
	is.True(math.Abs(e.Survival(400)-0.5) < 1e-9)
	is.Equal(e.Survival(2000), 0.0)
	is.Equal(e.Reaches(300, 0), 1.0)
	is.Equal(e.Reaches(1990, 20), 0.0)
	is.Equal(e.Remaining(2000), 0)
	is.Equal(e.Remaining(2100), 0)
	previous := 1.0
	for ahead := 1; ahead < 2000; ahead += 50 {
		reaches := e.Reaches(0, ahead)
		is.True(reaches <= previous && reaches >= 0)
		previous = reaches
	}
	far := Estimate{MedianTokens: 5, Spread: 0.2}
	is.True(far.Reaches(5000, 100) > 0.9) // far beyond the expected output
	is.True(far.Remaining(5000) > 0)
}

// TestModelForgets checks that estimates follow a change of the traffic.
func TestModelForgets(t *testing.T) {
	is := is.New(t)
	m := &Model{}
	for _, median := range []float64{100, 1000} {
		for _, a := range arrivals(3, 2*maxSamples, median, 0.5, 1.2, 4000) {
			s := m.Begin("draft", a.hint, 4000)
			s.SetProduced(a.output)
			s.End(true)
		}
		got := m.Estimate("draft", int(median), 4000).MedianTokens
		is.True(got > 0.7*median && got < 1.4*median)
	}
}

func BenchmarkEnd(b *testing.B) {
	m := &Model{}
	for i := 0; b.Loop(); i++ {
		s := m.Begin("draft", 300+i%200, 2216)
		s.SetProduced(200 + i%700)
		s.End(true)
	}
}
