package httpserver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// newConnectionMillis is the time for which a new connection may send its first request although
	// waiting connections are closed.
	newConnectionMillis = 1000
	// lastConnectionMillis is that time once Run ends.
	lastConnectionMillis = 100
	// lastResponseMillis is the time that requests have at most to write their responses when Run ends,
	// and leastResponseMillis the time that they have if Run ends late, as the process stood still.
	lastResponseMillis  = 200
	leastResponseMillis = 50
	// lateResponseMillis is the time after that for handlers that have sent no part of their responses, as
	// the process gets no processor. Their callers would lose them by a reset as by the end of the process.
	lateResponseMillis = 1000
)

// ErrStopped is the cancellation cause of an exchange's context when Run ends.
var ErrStopped = errors.New("process stops")

// errNotHandled says that a request was read when the process was ending.
var errNotHandled = errors.New("request came when the process was ending")

// stage is a stage of a planned stop. The stages follow each other; the zero value means that there
// is no stop.
type stage int

const (
	// draining: each response says that its connection is closed after it.
	draining stage = iota + 1
	// closingIdle: no connection waits for a further request; a new one waits for its first.
	closingIdle
	// finishing: no connection is accepted either.
	finishing
	// aborting: the requests that are not handled yet are refused.
	aborting
)

// Drain makes the server close each connection after the response that is written next.
func (s *Server) Drain() {
	s.advance(draining)
}

// CloseIdle closes the connections that wait for a further request, from now on. A new connection may
// still send its first one.
func (s *Server) CloseIdle() {
	s.advance(closingIdle)
	s.limitReads(waiting)
}

// CloseBy sets the time by which all connections are closed once Run ends. If Run ends shortly before
// that time or after it, open requests still get a short time to write their responses.
func (s *Server) CloseBy(at boottime.Instant) {
	s.closeBy.Store(int64(at))
}

// Finish stops accepting connections, closes those that wait for a further request, and waits until all
// others have ended or ctx ends. It returns the number of requests that are still open.
func (s *Server) Finish(ctx context.Context) int {
	s.CloseIdle()
	s.advance(finishing)
	s.Listener.StopAccepting()
	return s.awaitEnd(ctx)
}

// abort ends the wait for requests and the reading of those that have begun, gives open requests
// time to write their responses, and resets the connections that are left when that time is over. Requests
// whose handlers are late keep theirs for a while longer.
func (s *Server) abort(ctx context.Context) {
	s.advance(aborting)
	s.limitReads(waiting)
	s.limitReads(reading)
	s.awaitEndUntil(ctx, time.Now().Add(s.lastResponse()))
	s.reset(func(c *connection) bool { return c.state != handling })
	s.awaitEndUntil(ctx, time.Now().Add(lateResponseMillis*time.Millisecond))
	s.reset(func(*connection) bool { return true })
}

// awaitEndUntil is awaitEnd with a time limit.
func (s *Server) awaitEndUntil(ctx context.Context, until time.Time) {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	s.awaitEnd(ctx)
}

// lastResponse returns the time that open requests have to write their responses.
func (s *Server) lastResponse() time.Duration {
	left := lastResponseMillis * time.Millisecond
	if at := boottime.Instant(s.closeBy.Load()); at != 0 {
		left = min(left, time.Duration(at-boottime.Now()))
	}
	return max(left, leastResponseMillis*time.Millisecond)
}

// awaitEnd waits until no connection is left and none is accepted, or until ctx ends. It returns the
// number of requests that are still open.
func (s *Server) awaitEnd(ctx context.Context) int {
	for {
		s.mu.Lock()
		ended, open, changed := len(s.connections) == 0 && !s.accepting, s.requests, s.changed
		s.mu.Unlock()
		if ended {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-changed:
		}
	}
}

// advance moves the stop to a stage, unless it is past it.
func (s *Server) advance(to stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = max(s.stage, to)
}

func (s *Server) reached(at stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage >= at
}

// limitReads applies the limits of the stage to the connections in a state.
func (s *Server) limitReads(state connectionState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if until := s.readLimit(c); c.state == state && !until.IsZero() {
			_ = c.limitRead(until)
		}
	}
}

// readUntil sets the time until which a connection is read, at most the limit of the stage. Times for
// the wait and the read of a request are set here or in limitReads, under the mutex, so that none replaces a limit.
func (s *Server) readUntil(c *connection, until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.readLimit(c); !limit.IsZero() && limit.Before(until) {
		until = limit
	}
	return c.limitRead(until)
}

// readLimit returns the time after which a connection is not read in the stage; the zero time for no
// limit. The caller holds mu.
func (s *Server) readLimit(c *connection) time.Time {
	past := time.Unix(1, 0)
	isNew := c.state == waiting && !c.used
	switch {
	case s.stage >= aborting && isNew:
		return c.acceptedAt.Add(lastConnectionMillis * time.Millisecond)
	case s.stage >= aborting && c.state != handling:
		return past
	case s.stage < closingIdle || c.state != waiting:
		return time.Time{}
	case !isNew:
		return past
	default:
		return c.acceptedAt.Add(newConnectionMillis * time.Millisecond)
	}
}

// reset resets the connections that are selected.
func (s *Server) reset(selected func(*connection) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if selected(c) {
			c.reset()
			_ = c.conn.Close()
		}
	}
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = make(map[*connection]struct{})
	}
	s.connections[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.notify()
}

func (s *Server) endAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
	s.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// noteClosedWaiting counts a connection that is closed as no request has arrived, if a stop closes it.
func (s *Server) noteClosedWaiting() {
	if s.reached(closingIdle) {
		s.closedWaiting.Add(1)
	}
}

// beginRequest counts a request whose first byte has been read.
func (s *Server) beginRequest(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun.Add(1)
	s.requests++
	c.used = true
	c.state = reading
}

// setState records what a connection does.
func (s *Server) setState(c *connection, state connectionState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state != waiting && state == waiting {
		s.requests--
	}
	c.state = state
}
