package relay

import (
	"context"
	"sync"

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
	// Final says that no later message about the run follows.
	Final bool
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

// Migrations passes announced migrations on to the open streams that they concern.
// It is safe for concurrent use. The zero value is ready to use.
type Migrations struct {
	mu sync.Mutex
	// registered holds the open streams by request ID.
	registered map[string]*Registration
}

// Registration is an open stream whose run may be migrated.
type Registration struct {
	migrations *Migrations
	// id is the request ID.
	id string
	// engine is the address of the engine that the stream currently comes from.
	engine string
	// generation returns the generation of the stream as it is now.
	generation func() placement.Generation

	// latest is the newest migration; nil when there is none.
	latest *Migration
	// stopOrdered says that this host has ordered the engine to stop the run, and that the engine
	// may have.
	stopOrdered bool
	// changed is closed when latest changes.
	changed chan struct{}
}

// Register registers an open stream. Unregister must be called at its end.
func (m *Migrations) Register(id, engine string, generation func() placement.Generation) *Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registered == nil {
		m.registered = make(map[string]*Registration)
	}
	r := &Registration{migrations: m, id: id, engine: engine, generation: generation, changed: make(chan struct{})}
	m.registered[id] = r
	return r
}

// Unregister removes the stream.
func (r *Registration) Unregister() {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	if r.migrations.registered[r.id] == r {
		delete(r.migrations.registered, r.id)
	}
}

// SetEngine records that the stream now comes from another engine, and drops the
// migration that led there.
func (r *Registration) SetEngine(engine string) {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	r.engine = engine
	r.latest = nil
	r.stopOrdered = false
}

// OrderStop records that this host is about to order the engine of a run to stop it. It returns
// false if there is no open stream of the run, or if the order is not the first one.
func (m *Migrations) OrderStop(requestID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.registered[requestID]
	if !ok || r.stopOrdered {
		return false
	}
	r.stopOrdered = true
	return true
}

// WithdrawStop records that the engine has not stopped the run.
func (m *Migrations) WithdrawStop(requestID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.registered[requestID]; ok {
		r.stopOrdered = false
	}
}

// StopOrdered reports whether this host has ordered the engine to stop the run.
func (r *Registration) StopOrdered() bool {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	return r.stopOrdered
}

// Announce stores a migration for its stream. A migration of a request without an
// open stream is dropped.
func (m *Migrations) Announce(migration Migration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.registered[migration.RequestID]
	if !ok {
		return
	}
	r.latest = &migration
	close(r.changed)
	r.changed = make(chan struct{})
}

// AnnounceFinal says that no further migration of a run follows. A copy that was announced
// stays usable.
func (m *Migrations) AnnounceFinal(requestID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.registered[requestID]
	if !ok {
		return
	}
	final := Migration{RequestID: requestID}
	if r.latest != nil {
		final = *r.latest
	}
	final.Final = true
	r.latest = &final
	close(r.changed)
	r.changed = make(chan struct{})
}

// Latest returns the newest migration of the stream, if there is one, and a channel
// that is closed when there is a newer one.
func (r *Registration) Latest() (Migration, bool, <-chan struct{}) {
	r.migrations.mu.Lock()
	defer r.migrations.mu.Unlock()
	if r.latest == nil {
		return Migration{}, false, r.changed
	}
	return *r.latest, true, r.changed
}

// AwaitStopped waits until the engine has stopped the run for a migration, until
// the last message about the run arrives, or until ctx ends. It returns the newest
// migration, and whether the stream can be resumed by it.
func (r *Registration) AwaitStopped(ctx context.Context) (Migration, bool) {
	for {
		migration, ok, changed := r.Latest()
		if ok && (migration.Stopped || migration.Final) {
			return migration, migration.resumable()
		}
		select {
		case <-ctx.Done():
			return migration, ok && migration.resumable()
		case <-changed:
		}
	}
}

// Run is a generation on an engine whose events an open stream forwards.
type Run struct {
	RequestID  string
	Generation placement.Generation
}

// RunsOn returns the runs of the open streams that come from the engine with an
// address.
func (m *Migrations) RunsOn(engine string) []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []Run
	for _, r := range m.registered {
		if r.engine == engine {
			runs = append(runs, Run{RequestID: r.id, Generation: r.generation()})
		}
	}
	return runs
}
