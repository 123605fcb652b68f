package entryhost

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/records/measure"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
)

// observer measures requests as callers see them.
type observer struct {
	measure *measure.Measure
}

// Began starts the measurement of one request.
func (o observer) Began(account, class string, now time.Time) intake.Span {
	return &span{measure: o.measure, series: o.measure.Series(account, class), last: now}
}

// span measures one request.
type span struct {
	measure *measure.Measure
	series  *measure.Series
	// last is the arrival, then the time of the newest tokens.
	last  time.Time
	begun bool
}

// Tokens records the time to the first token or between two tokens.
func (s *span) Tokens(count int, now time.Time) {
	if count == 0 {
		return
	}
	waited := now.Sub(s.last)
	s.last = now
	if !s.begun {
		s.begun = true
		s.series.FirstToken(waited)
		return
	}
	s.series.BetweenTokens(waited)
}

// Ended counts the result.
func (s *span) Ended(result *receipt.Result, _ time.Time) {
	s.measure.CountResult(uint32(result.Code))
}
