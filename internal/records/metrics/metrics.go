// Package metrics counts and times the work of a process, for each client
// account and class, and publishes the metrics as expvar variables.
package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// DefaultMaxSeries is the default of Registry.MaxSeries.
	DefaultMaxSeries = 64
	// WindowLength is the length of a window. Quantiles cover the current and the
	// previous window.
	WindowLength = time.Minute
)

// Other is the account and the class of the series that is used once the maximum
// number of series is reached.
const Other = "Other"

// Registry holds the metrics of a process. It is safe for concurrent use.
type Registry struct {
	// MaxSeries is the maximum number of series, not counting Other. Zero means
	// DefaultMaxSeries. It is set before the first use.
	MaxSeries int
	// StoreCalls counts the calls to the platform's store; it may be nil. It is set before the
	// first use.
	StoreCalls *storecalls.Counter
	// Received is the budget of what others may make the process hold; it may be nil. It is set before the
	// first use.
	Received *heldbytes.Budget
	// Callers is the budget of what callers may make the process hold; it may be nil. It is set before the first
	// use.
	Callers *intake.Budget

	mu sync.RWMutex
	// series never holds more than MaxSeries series and Other.
	series map[Key]*Series
	// windowEndsAt is the time of the next rotation. It is zero before Run.
	windowEndsAt time.Time

	// overflowed is the number of look-ups that returned Other because the
	// maximum number of series was reached.
	overflowed     atomic.Int64
	retries        expvar.Int
	limitedSends   expvar.Int
	longPauses     expvar.Int
	eventMicros    expvar.Int
	results        expvar.Map
	rejectedFrames expvar.Map
	migrations     expvar.Map
	unresponsive   expvar.Map
	cuts           expvar.Map
	answerEnds     expvar.Map
	// migrationPause holds the times for which migrated generations paused.
	migrationPause timer
	hedges         hedgeTimers
}

// Key identifies a series.
type Key struct {
	// Account is the name of a client account.
	Account string
	// Class is the name of a request class.
	Class string
}

// Series returns the series of a client account and class. A request looks it
// up once and keeps it.
func (r *Registry) Series(account, class string) *Series {
	key := Key{Account: account, Class: class}
	r.mu.RLock()
	s, ok := r.series[key]
	r.mu.RUnlock()
	if ok {
		return s
	}
	return r.add(key)
}

// add creates a series, or returns Other if the maximum number is reached.
func (r *Registry) add(key Key) *Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series == nil {
		r.series = map[Key]*Series{otherKey(): {}}
	}
	if s, ok := r.series[key]; ok {
		return s
	}
	if len(r.series) > r.maxSeries() {
		r.overflowed.Add(1)
		return r.series[otherKey()]
	}
	s := &Series{}
	r.series[key] = s
	return s
}

// CountResult counts a finished request by its result code.
func (r *Registry) CountResult(code uint32) {
	r.results.Add(strconv.FormatUint(uint64(code), 10), 1)
}

// CountRetry counts a retry, that is, an attempt after the first one of a request.
func (r *Registry) CountRetry() {
	r.retries.Add(1)
}

// CountLimitedSend counts a request that is sent to a backend server with a rate limit.
func (r *Registry) CountLimitedSend() {
	r.limitedSends.Add(1)
}

// CountLongPauseForecast counts a request that is placed at an engine at which its stream is forecast
// to pause for longer than its limit.
func (r *Registry) CountLongPauseForecast() {
	r.longPauses.Add(1)
}

// SetEventTime sets the usual time between two events of a run of the engine, in
// microseconds; zero when it is not known.
func (r *Registry) SetEventTime(micros int64) {
	r.eventMicros.Set(micros)
}

// Uses of CountUnresponsive.
const (
	// SentElsewhere counts the requests that were sent to another server.
	SentElsewhere = "SentElsewhere"
	// SentAsProbe counts the requests that were sent to an unresponsive server to find out
	// whether it answers again.
	SentAsProbe = "SentAsProbe"
)

// CountUnresponsive counts a request that was placed otherwise because a backend server is
// unresponsive.
func (r *Registry) CountUnresponsive(use string) {
	r.unresponsive.Add(use, 1)
}

// CountMigration counts a planned migration of a generation by its outcome. The
// outcome must come from a fixed set, since the registry keeps a counter for each
// one.
func (r *Registry) CountMigration(outcome string) {
	r.migrations.Add(outcome, 1)
}

// RecordMigrationPause records the time for which a migrated generation paused at
// its source.
func (r *Registry) RecordMigrationPause(d time.Duration) {
	r.migrationPause.record(d)
}

// CountCut counts an answer that did not reach its caller completely, by the cause. The cause must
// come from a fixed set, since the registry keeps a counter for each one.
func (r *Registry) CountCut(cause string) {
	r.cuts.Add(cause, 1)
}

// CountAnswerEnd counts an answer that ended with its connection by the verdict on its end. The verdict
// must come from a fixed set, since the registry keeps a counter for each one.
func (r *Registry) CountAnswerEnd(verdict string) {
	r.answerEnds.Add(verdict, 1)
}

// CountRejectedFrame counts a rejected frame by the reason. The reason must come
// from a fixed set, since the registry keeps a counter for each one.
func (r *Registry) CountRejectedFrame(reason string) {
	r.rejectedFrames.Add(reason, 1)
}

func (r *Registry) maxSeries() int {
	if r.MaxSeries <= 0 {
		return DefaultMaxSeries
	}
	return r.MaxSeries
}

func otherKey() Key {
	return Key{Account: Other, Class: Other}
}
