package monitor

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// stopCheckMillis is the pause between checks whether a planned stop is complete.
	stopCheckMillis = 10
	// lastAskMillis is the time after the end of the last run in which an entry host may still ask
	// whether it was stopped.
	lastAskMillis = 100
	// deliveryMillis bounds the wait for entry hosts to receive the last messages.
	deliveryMillis = 300
)

// errStopping says that the process takes no further entry host, as it is about to end.
var errStopping = errors.New("monitor is stopping")

// plannedStop is the state of a planned stop of the process. The zero value is ready to use.
type plannedStop struct {
	// endsAt returns the time by which migrations must have ended; nil while no stop is planned.
	endsAt func() boottime.Instant
	// queriedAt is the time at which the last query of the engine that has ended was sent; zero before
	// the first.
	queriedAt boottime.Instant
	// usedAt is the end of the last query after which, by its newest report or the forecasts, the engine
	// had runs or was to have some; zero if none.
	usedAt boottime.Instant
	// shutdowns is the number of shutdowns of the engine whose migrations have begun and not ended.
	shutdowns int
	// copies is the number of runs whose migration has begun and not ended.
	copies int
	// cancel cancels all migrations, when their time is over; nil before Run.
	cancel context.CancelFunc
	// closed says that all watchers were removed and that no further one is added.
	closed bool
}

// Stop completes what the process has begun: it migrates the runs of an engine that is about to shut
// down, until endsAt, which may change meanwhile, and then delivers the last messages to the entry hosts.
// It returns at once if there is nothing to do. Run must go on meanwhile.
func (m *Monitor) Stop(ctx context.Context, endsAt func() boottime.Instant) {
	begunAt := boottime.Now()
	m.setEnd(endsAt)
	m.await(ctx, endsAt, func() bool { return m.idle(begunAt) })
	m.cancelMigrations()
	deliveredAt := boottime.Now().AddMillis(deliveryMillis)
	deliverBy := func() boottime.Instant { return deliveredAt }
	m.await(ctx, deliverBy, func() bool { return !m.migrating() })
	m.closeWatchers()
	m.await(ctx, deliverBy, func() bool { return m.countStreams() == 0 })
	m.Log.Info("migrations ended for the stop", "Millis", boottime.Now().MillisSince(begunAt),
		"LeftMillis", endsAt().MillisSince(boottime.Now()), "OpenStreams", m.countStreams())
}

// await waits until a condition holds, until the given time, or until ctx ends.
func (m *Monitor) await(ctx context.Context, until func() boottime.Instant, holds func() bool) {
	for ctx.Err() == nil && !holds() && boottime.Now().Before(until()) {
		boottime.Pause(ctx, stopCheckMillis)
	}
}

// idle reports whether no run is being migrated, and none may have to be: by a report that was asked
// for after the stop began, the engine is not about to shut down, or it has no runs.
func (m *Monitor) idle(begunAt boottime.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.plannedStop.queriedAt.Before(begunAt):
		return false
	case m.plannedStop.shutdowns == 0:
		return true
	default:
		return m.plannedStop.copies == 0 && m.plannedStop.usedAt.AddMillis(lastAskMillis).Before(boottime.Now())
	}
}

// noteQuery records that a query of the engine, which was sent at the given time, has ended, and whether
// the engine has runs.
func (m *Monitor) noteQuery(sentAt boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.queriedAt = sentAt
	if m.latest.Running > 0 || m.latest.Queued > 0 || len(m.latest.Runs) > 0 || len(m.forecasts.all) > 0 {
		m.plannedStop.usedAt = boottime.Now()
	}
}

func (m *Monitor) setEnd(endsAt func() boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.endsAt = endsAt
}

// migrationContext returns the context of all migrations, which a planned stop cancels.
func (m *Monitor) migrationContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.cancel = cancel
	return ctx, cancel
}

// addShutdown counts a shutdown of the engine whose migrations begin, or with -1 end.
func (m *Monitor) addShutdown(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.shutdowns += change
}

// addCopy counts a run whose migration begins, or with -1 ends.
func (m *Monitor) addCopy(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.copies += change
}

func (m *Monitor) cancelMigrations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.plannedStop.cancel != nil {
		m.plannedStop.cancel()
	}
}

func (m *Monitor) migrating() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plannedStop.shutdowns > 0
}

// completesBeforeStop reports whether a migration that begins now ends before a planned stop does.
func (m *Monitor) completesBeforeStop(step migration.Step) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	endsAt := m.plannedStop.endsAt
	return endsAt == nil || boottime.Now().AddMillis(step.CopyMillis()+lastCopyMillis).Before(endsAt())
}

// closeWatchers removes all watchers, whose streams end after their last messages.
func (m *Monitor) closeWatchers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.plannedStop.closed = true
	for w := range m.watchers {
		delete(m.watchers, w)
		close(w.outbox)
	}
}

func (m *Monitor) countStreams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openStreams
}
