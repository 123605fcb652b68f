package placement

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/pauseforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const (
	// longPauseCost is the most that an engine costs at which the stream of a long output may
	// be late by its pauses. It exceeds the cost of another zone and of
	// moderate load. Both it and maxLongRunsCost are added to the cost of an engine without
	// room, as a late answer is better than one that waits or pushes others out.
	longPauseCost = 0.5
	// longRunCost is the most that each long run costs that may exceed its limit, as
	// the request's prompt lengthens its pauses. maxLongRunsCost bounds the sum.
	longRunCost     = 0.08
	maxLongRunsCost = 0.4
	// leastDifference is the difference between two probabilities below which they count as
	// equal. The times between events of equal engines are estimates, too.
	leastDifference = 0.04
	// fullExcess is the excess of the probability from which the whole cost counts. Up to it the
	// cost is proportional. It is well below 1, as the lower load of slow engines would otherwise
	// outweigh the cost of streams that are late there.
	fullExcess = 1.0 / 3
	// runEvents is the number of further events for which the pauses of an engine's long
	// runs are forecast, whose outputs this host does not know.
	runEvents = 128
	// maxEventMicros and maxEventAgeMillis bound the estimates of an engine's time between
	// events that are taken for valid.
	maxEventMicros    = 60_000_000
	maxEventAgeMillis = 60_000

	microsPerMilli = 1000
)

// ObservePauses takes in that a stream of a service paused at an engine, and that events of
// it then arrived together. The pauses of the stream at the engine before are in recent, to
// which these are added.
func (l *LoadTable) ObservePauses(service, server string, recent *pauseforecast.Recent, pauseMicros int64, events int, now boottime.Instant) {
	if eventMicros := l.eventMicros(server, now); eventMicros > 0 {
		l.pauses.Observe(service, recent, pauseMicros, eventMicros, events)
	}
}

// eventMicros returns an engine's usual time between two events of a run in microseconds, or
// zero when there is no recent report of it.
func (l *LoadTable) eventMicros(server string, now boottime.Instant) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	report, reported := l.reports[server]
	if !reported || now.MillisSince(report.ReceivedAt) > reportMillis {
		return 0
	}
	micros, _ := report.eventTime(now)
	return micros
}

// eventTime returns the time between events and its age in milliseconds; both are zero when
// it is unknown or not valid.
func (r Report) eventTime(now boottime.Instant) (micros, ageMillis int64) {
	age := now.MillisSince(r.EventAt)
	if r.EventMicros <= 0 || r.EventMicros > maxEventMicros || age < 0 || age > maxEventAgeMillis {
		return 0, 0
	}
	return r.EventMicros, age
}

// pauseRule is the forecast of a stream's longest pause with the limit of its pauses. Its zero
// value has no limit.
type pauseRule struct {
	ratio pauseforecast.Ratio
	// limitMillis is zero when there is no limit or no forecast.
	limitMillis int64
}

// newPauseRule returns the rule for a stream of that many events.
func (l *LoadTable) newPauseRule(service string, events int, limitMillis int64) pauseRule {
	if limitMillis <= 0 {
		return pauseRule{}
	}
	ratio, known := l.pauses.Longest(service, events)
	if !known {
		return pauseRule{}
	}
	return pauseRule{ratio: ratio, limitMillis: limitMillis}
}

// runPauses returns the rule for the long runs at the engines of a service.
func (l *LoadTable) runPauses(service routetable.Service) pauseRule {
	return l.newPauseRule(service.Name, runEvents, service.MaxPauseMillis)
}

// excess returns the share by which the forecast for an engine exceeds the limit. It is zero
// when either is unknown.
func (r pauseRule) excess(eventMicros int64) float64 {
	if r.limitMillis == 0 || eventMicros == 0 {
		return 0
	}
	limitMicros := float64(r.limitMillis * microsPerMilli)
	return max(float64(r.ratio.PauseMicros(eventMicros))/limitMicros-1, 0)
}

// forecastPauses sets the forecasts of pauses of the candidates for a request.
func (l *LoadTable) forecastPauses(candidates []Candidate, request Request) {
	service := request.Service
	if service.Engine == nil {
		return
	}
	if ratio, known := l.pauses.Longest(service.Name, request.Events); known {
		for i := range candidates {
			candidates[i].PauseMillis = ratio.PauseMicros(candidates[i].EventMicros) / microsPerMilli
		}
	}
	if !request.Short {
		if lateness, known := l.pauses.Lateness(service.Name, request.MaxPauseMillis, request.Events); known {
			compareLateness(candidates, &lateness, func(c *Candidate) *LateChance { return &c.Late })
		}
	}
	if request.PromptTokens > 0 {
		l.compareRuns(candidates, service)
	}
}

// compareRuns sets the chances of the runs at the candidates.
func (l *LoadTable) compareRuns(candidates []Candidate, service routetable.Service) {
	if lateness, known := l.pauses.Lateness(service.Name, service.MaxPauseMillis, runEvents); known {
		compareLateness(candidates, &lateness, func(c *Candidate) *LateChance { return &c.RunsLate })
	}
}

// LateChance is the probability that a pause of a stream at an engine exceeds its limit.
type LateChance struct {
	// Probability is the mean over the engines of known speed if that of the engine is not
	// known; zero if there are none.
	Probability float64
	// Excess is the difference from the lowest probability of a usable engine; zero if it is
	// less than leastDifference.
	Excess float64
}

// Percent returns the probability in percent, rounded up.
func (c LateChance) Percent() int {
	return int(math.Ceil(100 * c.Probability))
}

// compareLateness sets one of the chances of the candidates. An engine of unknown speed is as likely
// to be slow as the others. If all engines are equally slow, the load alone decides.
func compareLateness(candidates []Candidate, lateness *pauseforecast.Lateness, chance func(*Candidate) *LateChance) {
	lowest, sum, known := 1.0, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.EventMicros == 0 {
			continue
		}
		probability := lateness.Probability(c.EventMicros)
		chance(c).Probability = probability
		if c.usable() {
			lowest = min(lowest, probability)
			sum += probability
			known++
		}
	}
	if known == 0 {
		return
	}
	differ := false
	for i := range candidates {
		c := chance(&candidates[i])
		if candidates[i].EventMicros == 0 {
			c.Probability = sum / float64(known)
		}
		if excess := c.Probability - lowest; excess >= leastDifference {
			c.Excess = excess
			differ = true
		}
	}
	if !differ {
		return
	}
	for i := range candidates {
		candidates[i].PausesDiffer = true
	}
}

// pauseCost returns the cost of the pauses that are forecast.
func (c Candidate) pauseCost() float64 {
	own := longPauseCost * min(c.Late.Excess/fullExcess, 1)
	runs := min(longRunCost*float64(c.LongRuns), maxLongRunsCost) * min(c.RunsLate.Excess/fullExcess, 1)
	return own + runs
}
