// Package serverpause holds what backend servers have asked of this entry host in their
// answers: to send nothing for a time, or nothing more, as they are leaving. Table holds
// these requests; it does no I/O and reads no clock.
package serverpause

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

const (
	// MaxPauseMillis bounds the pause that a backend server can ask for, so that a mistaken
	// value does not drop the server for good.
	MaxPauseMillis = 300_000
	// forgetMillis is the time for which a server that is not listed any more is
	// remembered. A restored store may list it again.
	forgetMillis = 60_000
)

// Answer is what an answer of a backend server asks for.
type Answer struct {
	// Leaving says that the server is leaving.
	Leaving bool
	// PauseMillis is the time for which the server wants no request; zero means none.
	PauseMillis int64
}

// Table holds the requests of backend servers. It is safe for concurrent use. The zero value
// is ready to use.
type Table struct {
	// DrainMillis is the time after its first answer as a leaving server for which a server
	// may still get requests. It is set before use.
	DrainMillis int64

	mu sync.RWMutex
	// servers holds the servers that asked for something, by ID.
	servers map[string]serverState
}

// serverState is what one incarnation of a backend server has asked for.
type serverState struct {
	// bornUnixMillis is the start time of the incarnation.
	bornUnixMillis int64
	// leavingSince is the time of its first answer as a leaving server; zero when there was
	// none.
	leavingSince boottime.Instant
	// pausedUntil is the end of the longest pause that it asked for; zero when it asked for
	// none.
	pausedUntil boottime.Instant
	// observedAt is the time of the newest answer that asked for something.
	observedAt boottime.Instant
}

// Status says what may be sent to a backend server. The zero value means that the server
// has asked for nothing.
type Status struct {
	// Leaving says that the server is leaving. It gets requests only if no other server can
	// take them.
	Leaving bool
	// Closed says that the server gets no requests at all.
	Closed bool
	// PausedUntil is the time from which the server accepts requests again; zero when it
	// accepts them now.
	PausedUntil boottime.Instant
}

// Observe records what an answer asks for and reports whether it asks for more than earlier
// ones did.
func (t *Table) Observe(server discovery.BackendServer, answer Answer, now boottime.Instant) bool {
	if !answer.Leaving && answer.PauseMillis <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before, _ := t.find(&server)
	after := before
	after.bornUnixMillis = server.BornUnixMillis
	after.observedAt = now
	if answer.Leaving && before.leavingSince == 0 {
		after.leavingSince = now
	}
	if answer.PauseMillis > 0 {
		after.pausedUntil = max(before.pausedUntil, now.AddMillis(min(answer.PauseMillis, MaxPauseMillis)))
	}
	if t.servers == nil {
		t.servers = make(map[string]serverState)
	}
	t.servers[server.ID] = after
	return after.leavingSince != before.leavingSince || after.pausedUntil != before.pausedUntil
}

// Status returns what may be sent to a server now.
func (t *Table) Status(server discovery.BackendServer, now boottime.Instant) Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.status(&server, now)
}

// AppendStatuses appends what may be sent to each of the servers now.
func (t *Table) AppendStatuses(statuses []Status, servers []discovery.BackendServer, now boottime.Instant) []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for i := range servers {
		statuses = append(statuses, t.status(&servers[i], now))
	}
	return statuses
}

// status returns what may be sent to a server now. The caller holds the mutex.
func (t *Table) status(server *discovery.BackendServer, now boottime.Instant) Status {
	state, ok := t.find(server)
	if !ok {
		return Status{}
	}
	status := Status{Leaving: state.leavingSince != 0}
	status.Closed = status.Leaving && !now.Before(state.leavingSince.AddMillis(t.DrainMillis))
	if now.Before(state.pausedUntil) {
		status.PausedUntil = state.pausedUntil
	}
	return status
}

// find returns the state of a server. Another incarnation has asked for nothing yet. The
// caller holds the mutex.
func (t *Table) find(server *discovery.BackendServer) (serverState, bool) {
	state, ok := t.servers[server.ID]
	if !ok || state.bornUnixMillis != server.BornUnixMillis {
		return serverState{}, false
	}
	return state, true
}

// Prune forgets the servers that are not listed any more and have asked for nothing lately.
func (t *Table) Prune(listed func(server string) bool, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.servers {
		if !listed(id) && now.MillisSince(max(state.observedAt, state.pausedUntil)) > forgetMillis {
			delete(t.servers, id)
		}
	}
}
