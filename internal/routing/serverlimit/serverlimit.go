// Package serverlimit keeps the rate limits that backend servers name in their answers: the
// requests a second that a server accepts from all entry hosts together. The package does
// no I/O and reads no clock.
package serverlimit

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// Answer is what the answer of a backend server says of its limit.
type Answer struct {
	// Named says that the answer names a limit.
	Named bool
	// PerSecond is the limit; zero if none is named.
	PerSecond float64
	// RequestSentAt is the time at which the answered request was sent.
	RequestSentAt boottime.Instant
	ReceivedAt    boottime.Instant
}

// Table holds the limits in force. It is safe for concurrent use. The zero value is ready
// to use.
type Table struct {
	mu sync.Mutex
	// limits holds the limits by the ID of the server.
	limits map[string]limit
}

// limit is the limit of one backend server.
type limit struct {
	perSecond float64
	// namedAt is the time of the newest answer that named it.
	namedAt boottime.Instant
}

// Observe records an answer of a server. It reports whether the limit has changed.
func (t *Table) Observe(server string, answer Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !answer.Named {
		return t.end(server, answer)
	}
	known, limited := t.limits[server]
	if t.limits == nil {
		t.limits = make(map[string]limit)
	}
	t.limits[server] = limit{perSecond: answer.PerSecond, namedAt: answer.ReceivedAt}
	return !limited || known.perSecond != answer.PerSecond
}

// end removes the limit of a server, unless the answered request was sent before the
// server named it. The caller holds the mutex.
func (t *Table) end(server string, answer Answer) bool {
	known, limited := t.limits[server]
	if !limited || answer.RequestSentAt.Before(known.namedAt) {
		return false
	}
	delete(t.limits, server)
	return true
}

// Limited reports whether a server has a limit.
func (t *Table) Limited(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.limits[server]
	return limited
}
