package memoryforecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
)

// TestPeakHoldsUnderALoad replays engines with runs whose outputs are drawn from
// their estimates. The memory that they really take at their worst moment must
// exceed a forecast with one standard deviation seldom, and must on average be well
// below the sum of the final sizes.
func TestPeakHoldsUnderALoad(t *testing.T) {
	is := is.New(t)
	const engines, runsPerEngine = 400, 6
	random := rand.New(rand.NewPCG(11, 2))
	exceeded, peaks, finals, forecasts := 0, 0, 0, 0
	for range engines {
		var runs []Run
		var remaining []int
		for range runsPerEngine {
			output := outputestimate.Estimate{MedianTokens: 440, Spread: 0.8, MaxTokens: 2216}
			total, produced := 0, random.IntN(500)
			for total <= produced {
				total = min(int(output.MedianTokens*math.Exp(output.Spread*random.NormFloat64())), output.MaxTokens)
			}
			runs = append(runs, Run{Tokens: 3000 + produced, Produced: produced, Output: output})
			remaining = append(remaining, total-produced)
		}
		peak, final := 0, 0
		for ahead := range 2216 {
			used := 0
			for i, run := range runs {
				if remaining[i] >= ahead {
					used += run.Tokens + ahead
				}
			}
			peak = max(peak, used)
		}
		for i, run := range runs {
			final += run.Tokens + remaining[i]
		}
		forecast := Peak(runs, 0, 1)
		if peak > forecast {
			exceeded++
		}
		peaks, finals, forecasts = peaks+peak, finals+final, forecasts+forecast
	}
	t.Logf("exceeded %d of %d; mean peak %d, forecast %d, sum of final sizes %d", exceeded, engines, peaks/engines, forecasts/engines, finals/engines)
	is.True(exceeded < engines/5)
	is.True(forecasts < finals)
}

func TestPeak(t *testing.T) {
	is := is.New(t)
	sure := outputestimate.Estimate{MedianTokens: 500, Spread: 0.001, MaxTokens: 4000}
	is.Equal(Peak(nil, 700, 1), 700)
	is.Equal(Peak([]Run{{Tokens: 1000, Output: sure}}, 0, 0), 1000+384)
	// The second run ends before the first one has grown much.
	short := outputestimate.Estimate{MedianTokens: 60, Spread: 0.001, MaxTokens: 4000}
	is.Equal(Peak([]Run{{Tokens: 1000, Output: sure}, {Tokens: 3000, Output: short}}, 0, 0), 4000+2*32)
}

// BenchmarkPeak forecasts an engine with ten runs.
func BenchmarkPeak(b *testing.B) {
	runs := make([]Run, 10)
	for i := range runs {
		runs[i] = Run{Tokens: 3000 + i, Produced: i * 50, Output: outputestimate.Estimate{MedianTokens: 440, Spread: 0.8, MaxTokens: 2216}}
	}
	for b.Loop() {
		Peak(runs, 0, 1)
	}
}

// TestPeakWithShortRun checks that a request that ends at once is not charged with what
// the other runs will take later.
func TestPeakWithShortRun(t *testing.T) {
	is := is.New(t)
	long := outputestimate.Estimate{MedianTokens: 1500, Spread: 0.1, MaxTokens: 4000}
	short := outputestimate.Estimate{MedianTokens: 10, Spread: 0.1, MaxTokens: 36}
	runs := []Run{{Tokens: 3000, Output: long}, {Tokens: 3000, Output: long}}
	alone := Peak(runs, 0, 0)
	is.True(alone > 8000)
	is.Equal(PeakWith(runs, Run{Tokens: 1000, Output: short}, 0, 0), 7000)
	is.True(PeakWith(runs, Run{Tokens: 1000, Output: long}, 0, 0) > alone+1000)
	is.Equal(NearPeak(runs, 0, 0), 6000+2*ShortOutputTokens)
}
