package monitor

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// statementPauseMillis is the least pause between two messages with statements of entry hosts of
// one kind. It bounds their number when many hosts state something.
const statementPauseMillis = 20

// passOn passes the statements of entry hosts on to all of them until ctx ends. It calls take each
// time that statements wait, which returns nil when there are none.
func (m *Monitor) passOn(ctx context.Context, wake *signal.Signal, take func() *sighting.Sighting) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake.C():
		}
		if message := take(); message != nil {
			m.publishOptional(message)
		}
		boottime.Pause(ctx, statementPauseMillis)
	}
}

// passOnRateLimits passes the statements on rate limits on until ctx ends.
func (m *Monitor) passOnRateLimits(ctx context.Context) {
	m.passOn(ctx, &m.rateLimits.wake, func() *sighting.Sighting {
		all := m.rateLimits.take()
		if len(all) == 0 {
			return nil
		}
		return &sighting.Sighting{RateLimits: all}
	})
}

// passOnUnresponsive passes the statements on unresponsive servers on until ctx ends.
func (m *Monitor) passOnUnresponsive(ctx context.Context) {
	m.passOn(ctx, &m.unresponsive.wake, func() *sighting.Sighting {
		all := m.unresponsive.take(boottime.Now())
		if len(all) == 0 {
			return nil
		}
		return &sighting.Sighting{Unresponsive: all}
	})
}
