package monitor

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// assumedTokenMillis is the time for one token of a run that is assumed before the
	// engine's runs have shown it.
	assumedTokenMillis = 11
	// tokenTimeWeight is the weight of the newest observation in the moving average.
	tokenTimeWeight = 0.1
	// tokenTimeTokens is the growth of a run from which its token time is taken.
	tokenTimeTokens = 32
)

// tokenTime learns the time in which the engine generates one token of each run. The
// zero value is ready to use.
type tokenTime struct {
	// average is zero before the first observation.
	average float64
	// begun holds where each run is measured from, by request ID.
	begun map[string]runMark
}

// runMark is the size of a run at one time.
type runMark struct {
	tokens int
	at     boottime.Instant
}

// observe takes a report of the engine.
func (t *tokenTime) observe(report platform.EngineReport, now boottime.Instant) {
	begun := make(map[string]runMark, len(report.Runs))
	for _, run := range report.Runs {
		if run.Events == 0 {
			continue
		}
		mark, ok := t.begun[run.RequestID]
		switch {
		case !ok || run.Tokens < mark.tokens:
			mark = runMark{tokens: run.Tokens, at: now}
		case run.Tokens-mark.tokens >= tokenTimeTokens:
			t.add(float64(now.MillisSince(mark.at)) / float64(run.Tokens-mark.tokens))
			mark = runMark{tokens: run.Tokens, at: now}
		}
		begun[run.RequestID] = mark
	}
	t.begun = begun
}

func (t *tokenTime) add(millis float64) {
	t.average = t.millis() + tokenTimeWeight*(millis-t.millis())
}

// millis returns the time for one token in milliseconds.
func (t *tokenTime) millis() float64 {
	if t.average == 0 {
		return assumedTokenMillis
	}
	return t.average
}
