package unresponsive

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/answertime"
)

const (
	// windowMillis is the length of a window of answer times. The current and the previous one
	// count.
	windowMillis = 30_000
	// minAnswers is the number of answers from which the quantile is known.
	minAnswers = 20
	// usualQuantile is the quantile, in percent, that is taken for the usual time.
	usualQuantile = 99.0
	// maxAnswerMillis is the longest time that is recorded.
	maxAnswerMillis = 60_000
	// recomputeMillis is the time for which a quantile is kept.
	recomputeMillis = 200
)

// answerTimes holds the recent answer times of a service.
type answerTimes struct {
	times *answertime.Window
	// rotateAt is the end of the current window.
	rotateAt boottime.Instant
	// newestAt is the time of the newest answer.
	newestAt boottime.Instant
	// usual is the quantile at computedAt, in milliseconds.
	usual      int64
	computedAt boottime.Instant
}

// record adds the time of an answer of a service. The caller holds the mutex.
func (t *Table) record(service string, millis int64, now boottime.Instant) {
	if t.services == nil {
		t.services = make(map[string]*answerTimes)
	}
	a, known := t.services[service]
	if !known {
		a = &answerTimes{times: answertime.New(2, maxAnswerMillis), rotateAt: now.AddMillis(windowMillis)}
		t.services[service] = a
	}
	a.rotate(now)
	a.times.Record(millis, true)
	a.newestAt = now
}

// usual returns the time in which nearly all answers of a service come, zero while it is not
// known, and the time since the newest of these answers. The caller holds the mutex.
func (t *Table) usual(service string, now boottime.Instant) (millis, ageMillis int64) {
	a, known := t.services[service]
	if !known {
		return 0, 0
	}
	a.rotate(now)
	if a.computedAt == 0 || now.MillisSince(a.computedAt) >= recomputeMillis {
		a.compute()
		a.computedAt = now
	}
	return a.usual, now.MillisSince(a.newestAt)
}

func (a *answerTimes) rotate(now boottime.Instant) {
	if now.Before(a.rotateAt) {
		return
	}
	a.times.Advance(1)
	if !now.Before(a.rotateAt.AddMillis(windowMillis)) {
		a.times.Advance(1)
	}
	a.rotateAt = now.AddMillis(windowMillis)
	a.computedAt = 0
}

func (a *answerTimes) compute() {
	a.usual = 0
	if a.times.Answers() >= minAnswers {
		a.usual = a.times.Quantile(usualQuantile)
	}
}
