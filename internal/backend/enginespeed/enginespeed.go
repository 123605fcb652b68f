// Package enginespeed estimates how fast an engine generates: the usual time between two
// events of a run, from the numbers of events in successive reports of the engine. The load
// that it answers is an engine that is slower than the others of its service, for good or for
// some seconds. Prompts delay the events of the runs beside them, so that the time while an
// engine processes prompts says how busy it is, not how fast. The package does no I/O and reads
// no clock.
package enginespeed

import (
	"cmp"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// maxIntervalMillis is the longest time between two reports that are compared. In a longer
	// one the engine may have processed prompts that no report shows.
	maxIntervalMillis = 1000
	// sampleEvents is the number of events of a sample. Reports fall anywhere between two
	// events of a run, so that a sample of few events is off by a large share.
	sampleEvents = 8
	// maxSampleMillis is the time without sampleEvents events after which the runs count as
	// paused, for example by a preemption.
	maxSampleMillis = 4000
	// windowMillis is the age up to which samples count, from the newest one. An engine that
	// turns slow is noticed once half of the window is slow, and a slow period of a few
	// hundred milliseconds stays a minority in it.
	windowMillis = 2400
	// minSamples is the least number of samples of an estimate. That many are kept whatever
	// their age, as an engine that processes prompts most of the time completes few.
	minSamples = 3
	// maxSamples bounds the samples that are kept.
	maxSamples = 128
	// maxEventMicros is the longest time between events that is taken for valid.
	maxEventMicros = 60_000_000

	microsPerMilli = 1000
)

// Run is a run of the engine as a report shows it.
type Run struct {
	ID string
	// Events is the number of events that the run has generated.
	Events int
}

// Report is the state of an engine.
type Report struct {
	// BornUnixMillis is the start time of the incarnation.
	BornUnixMillis int64
	// Runs are the runs that have an event.
	Runs []Run
	// Prompts says that the engine processes a prompt, or is about to.
	Prompts bool
}

// Estimate is the usual time between two events of a run.
type Estimate struct {
	// EventMicros is positive.
	EventMicros int64
	// At is the time of the newest sample.
	At boottime.Instant
}

// Estimator estimates the speed of one engine. It is not safe for concurrent use. The zero
// value is ready to use.
type Estimator struct {
	// newest is the newest report, and newestAt its time; zero if the next report is not
	// compared with it.
	newest   Report
	newestAt boottime.Instant
	// begun is the sample that is not complete yet.
	begun sample
	// samples holds at most maxSamples complete samples, the oldest first. Those older than
	// windowMillis before the newest are dropped if more than minSamples remain.
	samples []sample
	// latest is the newest estimate; its At is zero while there is none.
	latest Estimate
}

// sample is a number of events with the time that the runs took for them. It sums up all runs
// over several intervals between reports, so that the parts of events at both ends of an interval
// cancel out.
type sample struct {
	events int
	// millis is the sum of the times of all runs, and lastedMillis that of the intervals.
	millis       int64
	lastedMillis int64
	// at is the time of the newest report that it counts.
	at boottime.Instant
}

// Observe takes in a report of the engine. Intervals that begin or end with prompts are left
// out. An incarnation that differs from the one of the report before drops all that is known.
func (e *Estimator) Observe(r Report, now boottime.Instant) {
	if r.BornUnixMillis != e.newest.BornUnixMillis {
		*e = Estimator{}
	}
	interval := now.MillisSince(e.newestAt)
	compared := e.newestAt != 0 && !e.newest.Prompts && !r.Prompts && interval > 0 && interval <= maxIntervalMillis
	before := e.newest
	e.newest, e.newestAt = r, now
	if compared {
		e.addInterval(before, interval, now)
	}
}

// addInterval adds the events since an earlier report to the sample that has begun.
func (e *Estimator) addInterval(earlier Report, millis int64, now boottime.Instant) {
	eventsBefore := make(map[string]int, len(earlier.Runs))
	for _, run := range earlier.Runs {
		eventsBefore[run.ID] = run.Events
	}
	compared := 0
	for _, run := range e.newest.Runs {
		events, known := eventsBefore[run.ID]
		if !known || events <= 0 || run.Events < events {
			continue
		}
		e.begun.events += run.Events - events
		e.begun.millis += millis
		compared++
	}
	if compared == 0 {
		return
	}
	e.begun.lastedMillis += millis
	e.begun.at = now
	switch {
	case e.begun.valid():
		e.samples = append(e.samples, e.begun)
		e.estimate(now)
		e.begun = sample{}
	case e.begun.events >= sampleEvents || e.begun.lastedMillis >= maxSampleMillis:
		// A run that paused may continue at any time before the next report.
		e.newestAt = 0
		e.begun = sample{}
	}
}

// Estimate returns the newest estimate, or false when there is none. It stays while the
// engine is idle or processes prompts, with its age.
func (e *Estimator) Estimate() (Estimate, bool) {
	return e.latest, e.latest.At != 0
}

// estimate renews the estimate after a new sample.
func (e *Estimator) estimate(now boottime.Instant) {
	oldest := now.AddMillis(-windowMillis)
	for len(e.samples) > minSamples && e.samples[0].at.Before(oldest) {
		e.samples = e.samples[1:]
	}
	e.samples = e.samples[max(len(e.samples)-maxSamples, 0):]
	if len(e.samples) < minSamples {
		return
	}
	e.latest = Estimate{EventMicros: median(e.samples), At: now}
}

// median returns the time between events that was exceeded for half of the time of the samples.
// An engine that is slow completes fewer samples in the same time.
func median(samples []sample) int64 {
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b sample) int {
		return cmp.Compare(a.eventMicros(), b.eventMicros())
	})
	total := int64(0)
	for _, s := range sorted {
		total += s.lastedMillis
	}
	passed := int64(0)
	for _, s := range sorted {
		passed += s.lastedMillis
		if 2*passed >= total {
			return s.eventMicros()
		}
	}
	return 0
}

// eventMicros returns the mean time between two events. The sample has at least one event.
func (s sample) eventMicros() int64 {
	return s.millis * microsPerMilli / int64(s.events)
}

// valid reports whether the sample is complete and can be true.
func (s sample) valid() bool {
	return s.events >= sampleEvents && s.eventMicros() > 0 && s.eventMicros() <= maxEventMicros
}
