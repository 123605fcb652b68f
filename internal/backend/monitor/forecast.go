package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// arrivalMillis is the time in which a request that was placed shows in the
	// engine's report.
	arrivalMillis = 1500
	// assumedGrowthTokens is the growth of a run of which no entry host said
	// how large it will be.
	assumedGrowthTokens = 300
	// minGrowthTokens is the growth of a run that is at its expected size.
	minGrowthTokens = 60
)

// forecasts are the sizes that entry hosts expect of requests.
type forecasts struct {
	// all by request identity.
	all map[string]forecast
}

// forecast is what is expected of one request.
type forecast struct {
	tokens   int
	placedAt boottime.Instant
}

// add takes over what an entry host expects.
func (f *forecasts) add(id string, tokens int, now boottime.Instant) {
	if f.all == nil {
		f.all = make(map[string]forecast)
	}
	f.all[id] = forecast{tokens: tokens, placedAt: now}
}

// prune forgets requests that neither run nor are on their way.
func (f *forecasts) prune(report platform.EngineReport, now boottime.Instant) {
	running := make(map[string]bool, len(report.Runs))
	for _, run := range report.Runs {
		running[run.RequestID] = true
	}
	for id, expected := range f.all {
		if !running[id] && now.MillisSince(expected.placedAt) > arrivalMillis {
			delete(f.all, id)
		}
	}
}

// expected returns the memory that will be taken once all requests have grown
// to their expected size.
func (f *forecasts) expected(report platform.EngineReport, now boottime.Instant) int {
	total := report.UsedTokens
	running := make(map[string]bool, len(report.Runs))
	for _, run := range report.Runs {
		running[run.RequestID] = true
		total += f.growth(run)
	}
	for id, expected := range f.all {
		if !running[id] && now.MillisSince(expected.placedAt) <= arrivalMillis {
			total += expected.tokens
		}
	}
	return total
}

// growth returns the memory that a run will still take.
func (f *forecasts) growth(run platform.EngineRun) int {
	expected, ok := f.all[run.RequestID]
	if !ok {
		return assumedGrowthTokens
	}
	return max(expected.tokens-run.Tokens, minGrowthTokens)
}
