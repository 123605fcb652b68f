package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// Assignment is one open request of this entry host at a backend server.
type Assignment struct {
	table *LoadTable
	// server is the server's ID, and index the place among its assignments.
	server string
	index  int
	// tokens is the memory that the request is expected to need.
	tokens int
	// promptTokens is the size of the prompt if no other prompt was ahead of it; zero
	// otherwise.
	promptTokens int
	sentAt       boottime.Instant
	// started says that the server has sent the first event of the answer.
	started bool
}

// Cancel closes the assignment of a request that was not sent.
func (a *Assignment) Cancel() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.table.server(a.server).remove(a)
	a.table.ServerLimits.Return(a.server)
}

// MarkStarted records that the server has sent the first event of the answer.
func (a *Assignment) MarkStarted(now boottime.Instant) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.started = true
	if a.promptTokens > 0 {
		a.table.promptRate.add(now.MillisSince(a.sentAt), a.promptTokens)
	}
}

// End closes the assignment. The argument failed says that the server failed the
// request.
func (a *Assignment) End(failed bool, now boottime.Instant) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	state := a.table.server(a.server)
	state.remove(a)
	value := 0.0
	if failed {
		value = 1
		state.failedAt = now
	}
	state.failureShare += failureWeight * (value - state.failureShare)
}

// remove removes an assignment, which may have been removed before.
func (s *serverState) remove(a *Assignment) {
	if a.index >= len(s.assignments) || s.assignments[a.index] != a {
		return
	}
	last := len(s.assignments) - 1
	s.assignments[a.index] = s.assignments[last]
	s.assignments[a.index].index = a.index
	s.assignments[last] = nil
	s.assignments = s.assignments[:last]
}
