package entryhost

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// observer records the times and results of requests as callers see them.
type observer struct {
	registry *metrics.Registry
}

// Began starts the span of one request.
func (o observer) Began(account, class string, now time.Time) httpapi.Span {
	return &span{registry: o.registry, series: o.registry.Series(account, class), last: now}
}

// span records the times and the result of one request.
type span struct {
	registry *metrics.Registry
	series   *metrics.Series
	// last is the time of the newest tokens, or of the request's arrival before the
	// first token.
	last    time.Time
	started bool
}

// Tokens records the time to the first token, or the time since the previous tokens.
func (s *span) Tokens(count int, now time.Time) {
	if count == 0 {
		return
	}
	waited := now.Sub(s.last)
	s.last = now
	if !s.started {
		s.started = true
		s.series.FirstToken(waited)
		return
	}
	s.series.BetweenTokens(waited)
}

// Ended counts the result.
func (s *span) Ended(result *resultcode.Result, _ time.Time) {
	s.registry.CountResult(uint32(result.Code))
}
