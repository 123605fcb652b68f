package relay

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/stoporder"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// Migration reports the state of the migration of a running generation to another
// engine.
type Migration struct {
	// RequestID is the request ID that the caller chose.
	RequestID string
	// Stopped says that the source has stopped the run; in a final message, that it may have.
	// Otherwise the run still generates, and the copy lacks the tokens generated after it was made.
	Stopped bool
	// StopOrder is the number of the order to stop the run, by the count of this host if Own is set and
	// of the monitor otherwise; zero if not known.
	StopOrder uint64
	// Own says that this host has ordered the engine, or that a final message is this host's.
	Own bool
	// Final says that no later message about the run follows.
	Final bool
	// EndedAnswer is the number of the answer whose end the message is a reply to; zero if it is none.
	EndedAnswer uint64
	// Source is the handle of the run's memory, with the address of the engine
	// that it ran on. The ID is empty when the run was not copied.
	Source platform.Handle
	// Destination is the address of the engine that holds the copy; empty when
	// the copy failed.
	Destination string
}

// resumable reports whether the stream can be resumed by the handle of the
// migration.
func (m Migration) resumable() bool {
	return m.Source.ID != ""
}

// Migrations passes announced migrations on to the open requests that they concern.
// It is safe for concurrent use. The zero value is ready to use.
type Migrations struct {
	mu sync.Mutex
	// registered holds the open requests by request ID.
	registered map[string]*Registration
	// sequence counts what is sent to engines and what is heard of runs, so that their order is known.
	sequence uint64
}

// Registration is an open request whose run may be migrated.
type Registration struct {
	migrations *Migrations
	// id is the request ID.
	id string
	// engine is the address of the engine that a stream currently comes from; empty before the stream
	// begins and for other answers.
	engine string
	// generation returns the generation of the stream as it is now.
	generation func() placement.Generation

	// engines holds what is known of the run at each engine, by address.
	engines map[string]runState
	// changed is closed when engines changes.
	changed chan struct{}
}

// runState is what is known of a run at one engine. It is immutable.
type runState struct {
	// copy is the newest message about the run that names no stop, and copyAt its place in the sequence;
	// zero if there is none.
	copy   Migration
	copyAt uint64
	// stop is the message of the monitor that names its newest order, and stopAt its place in the sequence;
	// zero if there is none. ownStop is the message about the newest stop by this host.
	stop    Migration
	stopAt  uint64
	ownStop Migration
	// reply is the newest reply to a question about the end of an answer.
	reply Migration
	// heard is the highest number of an order of the monitor.
	heard uint64
	// orders are the orders of this host to stop the run.
	orders stoporder.Orders
}

// withMessage returns the state after a message.
func (s runState) withMessage(m Migration, at uint64) runState {
	if m.EndedAnswer != 0 {
		s.reply = m
	}
	switch {
	case m.Stopped && m.Own:
		s.orders = s.orders.WithStop(m.StopOrder)
		s.ownStop = m
	case m.Stopped && (m.StopOrder >= s.heard || m.StopOrder == 0):
		s.heard = max(s.heard, m.StopOrder)
		s.stop, s.stopAt = m, at
	case m.Stopped: // an earlier stop once more
	case m.EndedAnswer == 0:
		s.copy, s.copyAt = m, at
	}
	return s
}

// Register registers an open request. Unregister must be called at its end.
func (m *Migrations) Register(id string) *Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registered == nil {
		m.registered = make(map[string]*Registration)
	}
	r := &Registration{migrations: m, id: id, engines: make(map[string]runState), changed: make(chan struct{})}
	m.registered[id] = r
	return r
}

// Unregister removes the request.
func (r *Registration) Unregister() {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	if r.migrations.registered[r.id] == r {
		delete(r.migrations.registered, r.id)
	}
}

// Begin records that the request is about to be sent to an engine. Stops that were heard of before are
// those of earlier answers.
func (r *Registration) Begin(engine string) Run {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	r.migrations.sequence++
	return Run{registration: r, engine: engine, number: r.migrations.sequence, heard: r.engines[engine].heard}
}

// Follow records that the events of a stream now come from a run, with the generation of the stream as it
// is at any time.
func (r *Registration) Follow(run Run, generation func() placement.Generation) {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	r.engine, r.generation = run.engine, generation
}

// OrderStop records that this host is about to order an engine to stop a run. It returns the number of
// the order; zero if there is no open request of the run.
func (m *Migrations) OrderStop(requestID, engine string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.registered[requestID]
	if !ok {
		return 0
	}
	m.sequence++
	state := r.engines[engine]
	state.orders = state.orders.With(m.sequence)
	r.engines[engine] = state
	return m.sequence
}

// WithdrawStop records that an order has not stopped the run.
func (m *Migrations) WithdrawStop(requestID, engine string, order uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.registered[requestID]; ok {
		state := r.engines[engine]
		state.orders = state.orders.WithNone(order)
		r.setState(engine, state)
	}
}

// Announce stores a migration for its request. A migration of a request that is not
// open is dropped.
func (m *Migrations) Announce(migration Migration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.registered[migration.RequestID]; ok {
		r.store(migration)
	}
}

// store stores a message about the run. The caller holds the mutex.
func (r *Registration) store(migration Migration) {
	r.migrations.sequence++
	engine := migration.Source.Address
	r.setState(engine, r.engines[engine].withMessage(migration, r.migrations.sequence))
}

// setState stores what is known of the run at an engine. The caller holds the mutex.
func (r *Registration) setState(engine string, state runState) {
	r.engines[engine] = state
	close(r.changed)
	r.changed = make(chan struct{})
}

// AnnounceFinal says that this host migrates a run on an engine no more. A copy that was announced
// stays usable.
func (m *Migrations) AnnounceFinal(requestID, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.registered[requestID]
	if !ok {
		return
	}
	final := r.engines[engine].copy
	final.RequestID, final.Source.Address, final.Final, final.Own = requestID, engine, true, true
	r.store(final)
}

// IsOpen reports whether a request is open.
func (m *Migrations) IsOpen(requestID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, open := m.registered[requestID]
	return open
}

// StreamRun is a generation on an engine whose events an open stream forwards.
type StreamRun struct {
	RequestID  string
	Generation placement.Generation
}

// RunsOn returns the runs of the open streams that come from the engine with an
// address.
func (m *Migrations) RunsOn(engine string) []StreamRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []StreamRun
	for _, r := range m.registered {
		if r.engine == engine {
			runs = append(runs, StreamRun{RequestID: r.id, Generation: r.generation()})
		}
	}
	return runs
}
