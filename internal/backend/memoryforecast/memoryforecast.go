// Package memoryforecast forecasts the memory that the generations of an engine will
// take together. Generations grow at the same rate and free their memory when they
// end, so the most that they take at one time is less than the sum of their final
// sizes. The package does no I/O and reads no clock.
package memoryforecast

import (
	"math"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
)

// horizons are the points at which memory is forecast, as numbers of further tokens
// that each generation has produced by then.
var horizons = [...]int{0, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048}

// Run is a generation on the engine, or one that is about to start there.
type Run struct {
	// Tokens is the memory that the run takes now.
	Tokens int
	// Produced is the number of output tokens so far.
	Produced int
	Output   outputestimate.Estimate
}

// Peak returns the most memory that the runs will take at one time, beside fixed
// memory that no run frees. It is the highest value over time of the expected memory
// plus a number of standard deviations.
func Peak(runs []Run, fixed int, deviations float64) int {
	return fixed + highest(runs, deviations, func(int) bool { return true })
}

// NearPeak is like Peak, for the time in which each run produces ShortOutputTokens.
func NearPeak(runs []Run, fixed int, deviations float64) int {
	return fixed + highest(runs, deviations, func(ahead int) bool { return ahead <= ShortOutputTokens })
}

// PeakWith is like Peak with a further run, for the time in which that run will
// probably not have ended yet.
func PeakWith(runs []Run, further Run, fixed int, deviations float64) int {
	all := append(slices.Clip(runs), further)
	return fixed + highest(all, deviations, func(ahead int) bool {
		return further.Output.Reaches(further.Produced, ahead) >= minAlive
	})
}

const (
	// MaxGrowthTokens bounds the further output of a run for which an engine must have
	// room beside its peak. Its other runs end, and free their memory, while the run
	// grows further.
	MaxGrowthTokens = 300
	// ShortOutputTokens is the output up to which a request is short: it ends before
	// the other runs have grown much.
	ShortOutputTokens = 64
	// minAlive is the probability that a run still runs below which it is taken to
	// have ended.
	minAlive = 0.1
)

// highest returns the highest forecast among the horizons that are included.
func highest(runs []Run, deviations float64, included func(ahead int) bool) int {
	most := 0.0
	for _, ahead := range horizons {
		if included(ahead) {
			most = max(most, at(runs, ahead, deviations))
		}
	}
	return int(math.Ceil(most))
}

// at returns the forecast at one horizon.
func at(runs []Run, ahead int, deviations float64) float64 {
	mean, variance := 0.0, 0.0
	for _, run := range runs {
		alive := run.Output.Reaches(run.Produced, ahead)
		size := float64(run.Tokens + ahead)
		mean += alive * size
		variance += alive * (1 - alive) * size * size
	}
	return mean + deviations*math.Sqrt(variance)
}
