// Package replica is a stand-in of a backend server of the users' platform: a
// model engine, or a plain service, with faults that tests switch on.
package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

const (
	// eventMillis is the pause between two events of a stream.
	eventMillis = 10
	// eventTokens is the number of tokens in an event.
	eventTokens = 4
	// memoryTokens is the memory of an engine.
	memoryTokens = 34_000
	// copyMillis is the time of one copy of a run.
	copyMillis = 20
	// lateReadMillis is how long a server that answered early reads on.
	lateReadMillis = 1000
	// plainBody is the answer of a plain service.
	plainBody = "whole answer of a plain service"
)

// Faults of a backend server. The zero value has none.
type Faults struct {
	// Status answers every request with this status, after it has run.
	Status int
	// Decline answers every request as not run.
	Decline bool
	// AnswerEarly answers a request of a plain service before its body is read, and
	// reads the rest afterwards.
	AnswerEarly bool
	// ForeignAnswer sends an answer to another request first.
	ForeignAnswer bool
	// TruncateBody breaks an answer of a plain service off in its middle.
	TruncateBody bool
	// NoContentLength answers without a length.
	NoContentLength bool
	// BreakAfter breaks every stream off after this many events; zero never does.
	BreakAfter int
	// BreakWithinEvent says that a stream that is cut ends within an event.
	BreakWithinEvent bool
	// StallAfter stops every stream for SilentMillis after this many events;
	// zero never does.
	StallAfter  int
	StallMillis int
	// RefuseCopies refuses copies.
	RefuseCopies bool
	// RefuseMigrations refuses copies and lets the run go on until the server ends, which
	// cuts it.
	RefuseMigrations bool
}

// Arrival is a request that reached a backend server.
type Arrival struct {
	Method string
	Target string
	Header http.Header
	Body   string
	// Ran says that it ran.
	Ran bool
	// DisconnectedAt is when the caller's connection ended before the answer did.
	DisconnectedAt time.Time
}

// Group is what the backend servers of a service share.
type Group struct {
	mu sync.Mutex
	// handles by their name hold the identity of the run.
	handles map[string]string
	next    int
}

// Replica is one backend server.
type Replica struct {
	serving.Listener

	// ID is the identity under which it is registered.
	ID string
	// Group is shared by the servers of one service.
	Group *Group

	mu       sync.Mutex
	faults   Faults
	arrivals []*Arrival
	runs     map[string]*run
	// shutdownAt is when it ends; zero while it stays.
	shutdownAt time.Time
}

// run is a stream that is being generated.
type run struct {
	events int
	tokens int
	// stop is closed when the run is stopped.
	stop chan struct{}
}

// SetFaults switches faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Drain announces the end of the server.
func (r *Replica) Drain(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdownAt = at
}

// shutDownWithRuns reports whether the server has ended with runs that it kept.
func (r *Replica) shutDownWithRuns() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.RefuseMigrations && !r.shutdownAt.IsZero() && time.Now().After(r.shutdownAt)
}

// Arrivals returns the requests that arrived so far.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		all[i] = *a
	}
	return all
}

// Running returns the number of streams that are being generated.
func (r *Replica) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Routes serves the server's calls.
func (r *Replica) Routes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/report":
			r.report(w)
		case "/kv-move":
			r.copyRun(w, q)
		case "/":
			w.Header().Set("Fulmarvalve-Replica-Id", r.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			r.answer(w, q)
		}
	})
}

// report tells the state of the engine.
func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([][]any, 0, len(r.runs))
	used := 0
	for id, run := range r.runs {
		rows = append(rows, []any{id, run.tokens, run.events, 5})
		used += run.tokens
	}
	report := map[string]any{
		"state": "ready", "queued": 0, "running": len(rows), "kv_used": used, "kv_total": memoryTokens, "runs": rows,
	}
	if !r.shutdownAt.IsZero() {
		report["state"] = "draining"
		report["leaves_ms"] = max(time.Until(r.shutdownAt).Milliseconds(), 0)
	}
	_ = json.NewEncoder(w).Encode(report)
}

// copyRun copies a run to another server, or stops it first.
func (r *Replica) copyRun(w http.ResponseWriter, q *http.Request) {
	var message struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	_ = json.NewDecoder(q.Body).Decode(&message)
	r.mu.Lock()
	running, ok := r.runs[message.ID]
	refused := r.faults.RefuseCopies
	stays := r.faults.RefuseMigrations
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if stays {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if message.Last {
		close(running.stop)
	}
	time.Sleep(copyMillis * time.Millisecond)
	r.mu.Lock()
	created := running.events
	r.mu.Unlock()
	reply := map[string]any{"handle": r.Group.issue(message.ID), "created": created}
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// issue returns a new handle of a run.
func (g *Group) issue(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handles == nil {
		g.handles = make(map[string]string)
	}
	g.next++
	handle := fmt.Sprintf("handle-%d", g.next)
	g.handles[handle] = id
	return handle
}

// redeem uses a handle up and reports whether it belongs to a run.
func (g *Group) redeem(from, id string) bool {
	_, handle, _ := strings.Cut(from, "/")
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handles[handle] != id {
		return false
	}
	delete(g.handles, handle)
	return true
}

// number reads a whole number of a header; an absent one is zero.
func number(h http.Header, name string) int {
	value, _ := strconv.Atoi(h.Get(name))
	return value
}
