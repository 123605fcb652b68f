package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/backend/memoryforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// arrivalMillis is the time within which a placed request appears in the
	// engine's report. After it the request is taken not to arrive.
	arrivalMillis = 1500
	// copyBeginsMillis is the time after a reservation within which the copy begins
	// and appears in the engine's report.
	copyBeginsMillis = 120
	// forecastDeviations is the number of standard deviations above its mean to
	// which the memory of the engine is forecast.
	forecastDeviations = 1.0
	// minSpread keeps an announcement without a spread from a distribution without
	// width.
	minSpread = 0.1
	// outputWorth is the worth of an output token in prompt tokens.
	outputWorth = 10
)

// unknownOutput is the output that is assumed of a run that no entry host announced.
var unknownOutput = outputestimate.Estimate{MedianTokens: 400, Spread: 1}

// forecasts holds what entry hosts have announced of their requests.
type forecasts struct {
	// all holds the announced requests by request ID.
	all map[string]announced
}

// announced is a request that an entry host has announced.
type announced struct {
	promptTokens int
	// produced is the number of output tokens at the time of the announcement.
	produced int
	output   outputestimate.Estimate
	priority int
	placedAt boottime.Instant
	// seen says that the engine has reported the request as running.
	seen bool
	// reserved says that the monitor of another engine announced the request, whose
	// memory is yet to be copied.
	reserved bool
}

// add stores an entry host's announcement of a request.
func (f *forecasts) add(p *sighting.Placement, now boottime.Instant) {
	f.put(p.GetRequestId(), newAnnounced(p, now))
}

func (f *forecasts) put(id string, request announced) {
	if f.all == nil {
		f.all = make(map[string]announced)
	}
	f.all[id] = request
}

// newAnnounced decodes an announcement.
func newAnnounced(p *sighting.Placement, now boottime.Instant) announced {
	return announced{
		promptTokens: int(p.GetPromptTokens()),
		produced:     int(p.GetProducedTokens()),
		output: outputestimate.Estimate{
			MedianTokens: max(p.GetMedianTokens(), 1),
			Spread:       max(p.GetSpread(), minSpread),
			MaxTokens:    int(p.GetMaxTokens()),
		},
		priority: int(p.GetPriority()),
		placedAt: now,
	}
}

// observe takes in a report. It drops the requests that have ended, and those that do not run
// and are no longer expected to arrive. A run that the engine preempts and leaves out of its report
// counts as one of unknown output once it runs again.
func (f *forecasts) observe(report platform.EngineReport, now boottime.Instant) {
	running := runningIDs(report)
	for id, request := range f.all {
		switch {
		case running[id]:
			request.seen = true
			f.all[id] = request
		case request.seen || now.MillisSince(request.placedAt) > arrivalMillis:
			delete(f.all, id)
		}
	}
}

func runningIDs(report platform.EngineReport) map[string]bool {
	running := make(map[string]bool, len(report.Runs))
	for _, run := range report.Runs {
		running[run.RequestID] = true
	}
	return running
}

// forecast is what the announcements and one report of the engine together show. It is
// immutable.
type forecast struct {
	// runs are the running and the arriving requests, and fixed is the memory that no run frees.
	runs  []memoryforecast.Run
	fixed int
	// unreadTokens is the size of the prompts of the requests that have produced no event yet.
	unreadTokens int
	// arrivingTokens is the memory that announced requests will take as soon as they arrive.
	arrivingTokens int
}

// at returns the forecast by a report. The announced requests that the engine does not report
// yet arrive, if they are still expected to.
func (f *forecasts) at(report platform.EngineReport, now boottime.Instant) forecast {
	result := forecast{runs: make([]memoryforecast.Run, 0, len(report.Runs)+len(f.all))}
	fixed := report.UsedTokens
	for _, run := range report.Runs {
		result.runs = append(result.runs, f.run(run))
		fixed -= run.Tokens
		if request, ok := f.all[run.RequestID]; ok && run.Events == 0 {
			result.unreadTokens += request.promptTokens
		}
	}
	result.fixed = max(fixed, 0)
	running := runningIDs(report)
	for id, request := range f.all {
		if running[id] || now.MillisSince(request.placedAt) > arrivalMillis {
			continue
		}
		run := request.arriving(now)
		result.runs = append(result.runs, run)
		result.arrivingTokens += run.Tokens
		if request.produced == 0 {
			result.unreadTokens += request.promptTokens
		}
	}
	return result
}

// expected returns the most memory that all running and arriving requests will take
// at one time.
func (f forecast) expected() int {
	return memoryforecast.Peak(f.runs, f.fixed, forecastDeviations)
}

// peakWith is like expected, with a further run and while that run lasts, and to a number of
// standard deviations above the mean.
func (f forecast) peakWith(further memoryforecast.Run, deviations float64) int {
	return memoryforecast.PeakWith(f.runs, further, f.fixed, deviations)
}

// near returns the most memory that will be taken while a short request runs.
func (f forecast) near() int {
	return memoryforecast.NearPeak(f.runs, f.fixed, 0)
}

// longRuns returns the number of running and arriving requests that are expected to produce
// more than memoryforecast.ShortOutputTokens further tokens.
func (f forecast) longRuns() int {
	count := 0
	for _, run := range f.runs {
		if run.Output.Remaining(run.Produced) > memoryforecast.ShortOutputTokens {
			count++
		}
	}
	return count
}

// run returns a run of the engine with its announced output.
func (f *forecasts) run(run platform.EngineRun) memoryforecast.Run {
	request, ok := f.all[run.RequestID]
	if !ok {
		return memoryforecast.Run{Tokens: run.Tokens, Output: unknownOutput}
	}
	return memoryforecast.Run{
		Tokens:   max(run.Tokens, request.promptTokens),
		Produced: max(run.Tokens-request.promptTokens, 0),
		Output:   request.output,
	}
}

// arriving returns an announced request that the engine does not report yet. The
// memory of a migrated one is already there, as a copy, once the copy has begun.
func (a announced) arriving(now boottime.Instant) memoryforecast.Run {
	run := memoryforecast.Run{Produced: a.produced, Output: a.output}
	copied := a.produced > 0 && (!a.reserved || now.MillisSince(a.placedAt) > copyBeginsMillis)
	if !copied {
		run.Tokens = a.promptTokens + a.produced
	}
	return run
}

// migratable returns a run of the engine for the decision whether to migrate it.
func (f *forecasts) migratable(run platform.EngineRun) migration.Run {
	request, ok := f.all[run.RequestID]
	if !ok {
		return migration.Run{RequestID: run.RequestID, Tokens: run.Tokens, Remaining: -1}
	}
	produced := max(run.Tokens-request.promptTokens, 0)
	remaining := request.output.Remaining(produced)
	return migration.Run{
		RequestID: run.RequestID,
		Tokens:    run.Tokens,
		Produced:  produced,
		Remaining: remaining,
		Worth:     int64(request.promptTokens + outputWorth*(produced+remaining)),
	}
}
