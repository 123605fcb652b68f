// Package metrics counts and times the work of a process, for each client
// account and class, and publishes the figures by expvar.
package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultMaxSeries bounds the series of a process.
	DefaultMaxSeries = 64
	// WindowLength is the time after which quantiles forget a window.
	WindowLength = time.Minute
)

// Other is the account and class of the series that counts everything beyond
// the bound.
const Other = "Other"

// Registry holds the figures of a process. It is safe for concurrent use.
type Registry struct {
	// MaxSeries bounds the series besides Other. Zero means DefaultMaxSeries.
	// It is set before the first use.
	MaxSeries int

	mu sync.RWMutex
	// series never holds more than MaxSeries and Other.
	series map[Key]*Series
	// windowEndsAt is the time of the next rotation. It is zero before Run.
	windowEndsAt time.Time

	// overflowed counts the look-ups that fell into Other.
	overflowed     atomic.Int64
	retries        expvar.Int
	results        expvar.Map
	rejectedFrames expvar.Map
	migrations     expvar.Map
	// migrationPause holds the times for which moved generations stood still.
	migrationPause timer
}

// Key names a series.
type Key struct {
	// Account is a client account.
	Account string
	// Class of requests.
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

// add makes a series, or returns Other when the bound is reached.
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

// CountRetry counts an attempt after the first one of a request.
func (r *Registry) CountRetry() {
	r.retries.Add(1)
}

// CountMigration counts a generation that was to be moved, by how it ended. The outcome
// must come from a closed set, as each one is kept.
func (r *Registry) CountMigration(outcome string) {
	r.migrations.Add(outcome, 1)
}

// RecordMigrationPause records for how long a moved generation stood still at its source.
func (r *Registry) RecordMigrationPause(d time.Duration) {
	r.migrationPause.record(d)
}

// CountRejectedFrame counts a frame that was rejected. The reason must come
// from a closed set, as each one is kept.
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
