package relay

import (
	"context"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/platform"
)

// Migration says where a running generation can go on.
type Migration struct {
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

// resumable reports whether the run can go on from the move.
func (m Migration) resumable() bool {
	return m.Source.ID != ""
}

// Migrations joins announced moves with the streams that wait for them. It is safe
// for concurrent use; its zero value is ready.
type Migrations struct {
	mu sync.Mutex
	// registered by request identity.
	registered map[string]*Registration
}

// Registration is an open stream that may be moved.
type Registration struct {
	migrations *Migrations
	id         string
	// Engine is the address of the engine that the stream comes from now.
	engine string
	// estimate returns what is still to be generated, and the worth.
	estimate func() Estimate

	latest *Migration
	// changed is closed when latest changes.
	changed chan struct{}
}

// Register registers an open stream. End removes it.
func (m *Migrations) Register(id, engine string, estimate func() Estimate) *Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registered == nil {
		m.registered = make(map[string]*Registration)
	}
	e := &Registration{migrations: m, id: id, engine: engine, estimate: estimate, changed: make(chan struct{})}
	m.registered[id] = e
	return e
}

// Unregister removes the stream.
func (e *Registration) Unregister() {
	e.migrations.mu.Lock()
	defer e.migrations.mu.Unlock()
	if e.migrations.registered[e.id] == e {
		delete(e.migrations.registered, e.id)
	}
}

// SetEngine notes that the stream now comes from another engine.
func (e *Registration) SetEngine(engine string) {
	e.migrations.mu.Lock()
	defer e.migrations.mu.Unlock()
	e.engine = engine
	e.latest = nil
}

// Announce takes over a move. One that names no open stream is dropped.
func (m *Migrations) Announce(move Migration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.registered[move.RequestID]
	if !ok {
		return
	}
	e.latest = &move
	close(e.changed)
	e.changed = make(chan struct{})
}

// Latest returns the newest move of the stream, and a channel that is closed
// when there is a newer one.
func (e *Registration) Latest() (Migration, bool, <-chan struct{}) {
	e.migrations.mu.Lock()
	defer e.migrations.mu.Unlock()
	if e.latest == nil {
		return Migration{}, false, e.changed
	}
	return *e.latest, true, e.changed
}

// AwaitStopped waits until the stream's engine has stopped it for a move, nothing
// newer follows, or ctx ends, and returns the newest move, if there is one that
// the stream can go on from.
func (e *Registration) AwaitStopped(ctx context.Context) (Migration, bool) {
	for {
		move, ok, changed := e.Latest()
		if ok && (move.Stopped || move.Final) {
			return move, move.resumable()
		}
		select {
		case <-ctx.Done():
			return move, ok && move.resumable()
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

// RunsOn returns the open streams on an engine.
func (m *Migrations) RunsOn(engine string) []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []Run
	for _, e := range m.registered {
		if e.engine == engine {
			runs = append(runs, Run{RequestID: e.id, Estimate: e.estimate()})
		}
	}
	return runs
}
