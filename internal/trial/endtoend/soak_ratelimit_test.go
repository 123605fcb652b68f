package endtoend

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// limitLeast and limitMost bound the rate limits that backend servers name, in requests
	// a second.
	limitLeast = 1.0
	limitMost  = 4.0
	// limitMillis is the time for which a server names a limit, and limitPauseMillis the
	// pause after it.
	limitMillis      = 7500
	limitPauseMillis = 500
)

// limitSpan is a time in which a backend server has named a limit.
type limitSpan struct {
	server    *replica.Replica
	perSecond float64
	from, to  time.Time
}

// nameRateLimits makes one backend server after the other name a limit, until the end of the
// run.
func (s *soak) nameRateLimits() error {
	for time.Now().Before(s.endsAt) {
		server := s.plainServices[s.limitChoices.IntN(len(s.plainServices))]
		if s.limitChoices.IntN(2) == 0 {
			server = s.engines[s.limitChoices.IntN(len(s.engines))].Replica
		}
		span := limitSpan{
			server:    server,
			perSecond: limitLeast + s.limitChoices.Float64()*(limitMost-limitLeast),
			from:      time.Now(),
		}
		server.SetRateLimit(span.perSecond)
		time.Sleep(min(limitMillis*time.Millisecond, time.Until(s.endsAt)))
		server.EndRateLimit()
		span.to = time.Now()
		s.limitSpans = append(s.limitSpans, span)
		time.Sleep(limitPauseMillis * time.Millisecond)
	}
	return nil
}

// checkRateLimits checks that no server got more requests than it had named, from all entry
// hosts together and whatever happened to them.
func (s *soak) checkRateLimits() {
	for _, span := range s.limitSpans {
		settled := span.from.Add(rateSettleMillis * time.Millisecond)
		checkRate(s.t, span.server, span.perSecond, settled, span.to)
	}
}
