package relay

import (
	"context"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/platform"
)

// Move says where a running generation can go on.
type Move struct {
	// RequestID is the caller's identity of the request.
	RequestID string
	// Stopped says that the engine it ran on has stopped it. Otherwise the copy
	// lacks what was generated since.
	Stopped bool
	// Final says that no later message about the run follows.
	Final bool
	// Source is the engine it ran on, with the handle of its memory there.
	Source platform.Handle
	// Destination is the address of the engine that holds the copy; empty when
	// the copy failed.
	Destination string
}

// continues reports whether the run can go on from the move.
func (m Move) continues() bool {
	return m.Source.ID != ""
}

// Moves joins announced moves with the streams that wait for them. It is safe
// for concurrent use; its zero value is ready.
type Moves struct {
	mu sync.Mutex
	// expected by request identity.
	expected map[string]*Expectation
}

// Expectation is an open stream that may be moved.
type Expectation struct {
	moves *Moves
	id    string
	// Engine is the address of the engine that the stream comes from now.
	engine string
	// estimate returns what is still to be generated, and the worth.
	estimate func() Estimate

	latest *Move
	// changed is closed when latest changes.
	changed chan struct{}
}

// Expect registers an open stream. End removes it.
func (m *Moves) Expect(id, engine string, estimate func() Estimate) *Expectation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.expected == nil {
		m.expected = make(map[string]*Expectation)
	}
	e := &Expectation{moves: m, id: id, engine: engine, estimate: estimate, changed: make(chan struct{})}
	m.expected[id] = e
	return e
}

// End removes the stream.
func (e *Expectation) End() {
	e.moves.mu.Lock()
	defer e.moves.mu.Unlock()
	if e.moves.expected[e.id] == e {
		delete(e.moves.expected, e.id)
	}
}

// MovedTo notes that the stream now comes from another engine.
func (e *Expectation) MovedTo(engine string) {
	e.moves.mu.Lock()
	defer e.moves.mu.Unlock()
	e.engine = engine
	e.latest = nil
}

// Announce takes over a move. One that names no open stream is dropped.
func (m *Moves) Announce(move Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.expected[move.RequestID]
	if !ok {
		return
	}
	e.latest = &move
	close(e.changed)
	e.changed = make(chan struct{})
}

// Latest returns the newest move of the stream, and a channel that is closed
// when there is a newer one.
func (e *Expectation) Latest() (Move, bool, <-chan struct{}) {
	e.moves.mu.Lock()
	defer e.moves.mu.Unlock()
	if e.latest == nil {
		return Move{}, false, e.changed
	}
	return *e.latest, true, e.changed
}

// AwaitStopped waits until the stream's engine has stopped it for a move, nothing
// newer follows, or ctx ends, and returns the newest move, if there is one that
// the stream can go on from.
func (e *Expectation) AwaitStopped(ctx context.Context) (Move, bool) {
	for {
		move, ok, changed := e.Latest()
		if ok && (move.Stopped || move.Final) {
			return move, move.continues()
		}
		select {
		case <-ctx.Done():
			return move, ok && move.continues()
		case <-changed:
		}
	}
}

// Run is an open stream on an engine.
type Run struct {
	RequestID string
	Estimate  Estimate
}

// Estimate is what is expected of a stream.
type Estimate struct {
	// RemainingTokens is what is still to be generated.
	RemainingTokens int
	// Worth grows with the size of the whole answer.
	Worth int64
}

// On returns the open streams on an engine.
func (m *Moves) On(engine string) []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []Run
	for _, e := range m.expected {
		if e.engine == engine {
			runs = append(runs, Run{RequestID: e.id, Estimate: e.estimate()})
		}
	}
	return runs
}
