package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// arrivalMillis is the time within which a placed request appears in the
	// engine's report. After it the request is taken not to arrive.
	arrivalMillis = 1500
	// assumedGrowthTokens is the assumed growth of a run whose size no entry host
	// estimated.
	assumedGrowthTokens = 300
	// minGrowthTokens is the assumed growth of a run that has nearly reached or
	// exceeds its expected size.
	minGrowthTokens = 60
)

// forecasts holds the memory that entry hosts expect their requests to take.
type forecasts struct {
	// all holds the forecasts by request ID.
	all map[string]forecast
}

// forecast is the expected memory of one request.
type forecast struct {
	// tokens is the memory at the end of the run.
	tokens   int
	placedAt boottime.Instant
}

// add stores an entry host's forecast for a request.
func (f *forecasts) add(id string, tokens int, now boottime.Instant) {
	if f.all == nil {
		f.all = make(map[string]forecast)
	}
	f.all[id] = forecast{tokens: tokens, placedAt: now}
}

// prune drops the forecasts of requests that do not run and are no longer expected
// to arrive.
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

// expected returns the memory that will be in use once all running and arriving
// requests have grown to their expected size.
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

// growth returns the memory that a run is expected to take in addition.
func (f *forecasts) growth(run platform.EngineRun) int {
	expected, ok := f.all[run.RequestID]
	if !ok {
		return assumedGrowthTokens
	}
	return max(expected.tokens-run.Tokens, minGrowthTokens)
}
