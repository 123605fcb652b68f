// Package measure counts and times the work of a process, for each client
// account and class, and publishes the figures by expvar.
package measure

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

// Measure holds the figures of a process. It is safe for concurrent use.
type Measure struct {
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
	moves          expvar.Map
	// movePause holds the times for which moved generations stood still.
	movePause timer
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
func (m *Measure) Series(account, class string) *Series {
	key := Key{Account: account, Class: class}
	m.mu.RLock()
	s, ok := m.series[key]
	m.mu.RUnlock()
	if ok {
		return s
	}
	return m.add(key)
}

// add makes a series, or returns Other when the bound is reached.
func (m *Measure) add(key Key) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.series == nil {
		m.series = map[Key]*Series{otherKey(): {}}
	}
	if s, ok := m.series[key]; ok {
		return s
	}
	if len(m.series) > m.maxSeries() {
		m.overflowed.Add(1)
		return m.series[otherKey()]
	}
	s := &Series{}
	m.series[key] = s
	return s
}

// CountResult counts a finished request by its result code.
func (m *Measure) CountResult(code uint32) {
	m.results.Add(strconv.FormatUint(uint64(code), 10), 1)
}

// CountRetry counts an attempt after the first one of a request.
func (m *Measure) CountRetry() {
	m.retries.Add(1)
}

// CountMove counts a generation that was to be moved, by how it ended. The outcome
// must come from a closed set, as each one is kept.
func (m *Measure) CountMove(outcome string) {
	m.moves.Add(outcome, 1)
}

// MovePause records for how long a moved generation stood still at its source.
func (m *Measure) MovePause(d time.Duration) {
	m.movePause.record(d)
}

// CountRejectedFrame counts a frame that was rejected. The reason must come
// from a closed set, as each one is kept.
func (m *Measure) CountRejectedFrame(reason string) {
	m.rejectedFrames.Add(reason, 1)
}

func (m *Measure) maxSeries() int {
	if m.MaxSeries <= 0 {
		return DefaultMaxSeries
	}
	return m.MaxSeries
}

func otherKey() Key {
	return Key{Account: Other, Class: Other}
}
