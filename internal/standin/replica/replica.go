// Package replica is a stand-in for a backend server of the direct path: a model
// engine or a plain service, with faults that tests inject. On the direct path, entry
// hosts send requests to the backend servers themselves, and a backend server can copy
// a run, which is a generation on one engine, so that the run migrates to another
// server. Replica is one backend server; a Group connects the servers of one service.
package replica

import (
	"cmp"
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
	// eventMillis is the time between two events of a stream, in milliseconds.
	eventMillis = 10
	// eventTokens is the number of tokens in an event.
	eventTokens = 4
	// memoryTokens is the memory of an engine, in tokens.
	memoryTokens = 34_000
	// copyMillis is the usual duration of one copy of a run, in milliseconds.
	copyMillis = 20
	// lateReadMillis is how long a server that responded early continues to read
	// the body, in milliseconds.
	lateReadMillis = 1000
	// plainBody is the response body of a plain service.
	plainBody = "whole answer of a plain service"
)

// Arrival is a request that reached a backend server.
type Arrival struct {
	// At is the time at which the request was read.
	At     time.Time
	Method string
	Target string
	Header http.Header
	Body   string
	// Ran reports whether the request was run.
	Ran bool
	// DisconnectedAt is the time at which the client closed the connection before
	// the end of the response; zero if it did not.
	DisconnectedAt time.Time
	// AnsweredAt is the time at which the complete response was written; zero if it was not.
	AnsweredAt time.Time
	// BrokenAt is the time at which a fault of the server broke off the response; zero if none did.
	BrokenAt time.Time
}

// Group holds the handles of copied runs, which the backend servers of a service
// share.
type Group struct {
	mu sync.Mutex
	// handles maps each handle that has not been used yet to the request ID of its
	// run.
	handles map[string]string
	// next is the number of the newest handle.
	next int
}

// Replica is one backend server.
type Replica struct {
	serving.Listener

	// ID is the identity under which the server is registered. Restart changes it.
	ID string
	// Group is shared by the servers of one service.
	Group *Group
	// OnCrash ends the server, with all its connections. It is set before the server
	// serves.
	OnCrash func()

	mu     sync.Mutex
	faults Faults
	// rateLimit is the value of the header by which answers name a rate limit; empty
	// for none.
	rateLimit string
	arrivals  []*Arrival
	// runs holds the streams that are being generated, by request ID.
	runs map[string]*run
	// shutdownAt is when the server shuts down; zero unless it is draining.
	shutdownAt time.Time
	// restarts is the number of times that the server has started again as another incarnation.
	restarts int64
	// restarted is closed when the server starts again as another incarnation. It is nil until a
	// request waits for it.
	restarted chan struct{}
	// dark says that the server takes requests and answers none.
	dark bool
}

// run is a stream that is being generated.
type run struct {
	// events is the number of events sent.
	events int
	// tokens is the number of tokens of context, including the prompt.
	tokens int
	// stop is closed when the last copy request stops the run.
	stop chan struct{}
}

// SetFaults replaces the injected faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetRateLimit makes every answer name a limit of requests a second.
func (r *Replica) SetRateLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// EndRateLimit makes answers name no limit any more.
func (r *Replica) EndRateLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = ""
}

// Restart breaks all requests and goes on as another incarnation, without ever closing the port.
func (r *Replica) Restart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ID = id
	r.restarts++
	if r.restarted != nil {
		close(r.restarted)
		r.restarted = nil
	}
}

// GoDark makes the server keep its port and its connections and send nothing any more.
func (r *Replica) GoDark() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = true
}

// Born returns the start time of the current incarnation, as all that the server says of itself
// names it.
func (r *Replica) Born() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born()
}

// born returns the start time of the current incarnation. The caller holds mu.
func (r *Replica) born() int64 { return 1 + r.restarts }

// identity returns the ID of the current incarnation, and a channel that is closed when it ends.
func (r *Replica) identity() (id string, ended <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restarted == nil {
		r.restarted = make(chan struct{})
	}
	return r.ID, r.restarted
}

// holdDark blocks a request to a server that has gone dark until the client is gone.
func (r *Replica) holdDark(q *http.Request) {
	r.mu.Lock()
	dark := r.dark
	r.mu.Unlock()
	if dark {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// holdHung blocks a request while Faults.Hang is set. The request is broken if the client is gone.
func (r *Replica) holdHung(q *http.Request) {
	const checkMillis = 5
	for {
		r.mu.Lock()
		hung := r.faults.Hang
		r.mu.Unlock()
		if !hung {
			return
		}
		select {
		case <-q.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(checkMillis * time.Millisecond):
		}
	}
}

// Drain makes the server report that it is draining and that it will shut down at the
// given time. From then on, the runs that Faults.RefuseMigrations has kept on the server
// are broken, and with Faults.BreakAtShutdown all that are left; otherwise the server continues to serve.
func (r *Replica) Drain(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdownAt = at
}

// shutDownWithRuns reports whether the server breaks its runs: the time of its shutdown
// has passed, and a fault says that it does.
func (r *Replica) shutDownWithRuns() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	breaks := r.faults.RefuseMigrations || r.faults.BreakAtShutdown
	return breaks && !r.shutdownAt.IsZero() && time.Now().After(r.shutdownAt)
}

// Arrivals returns copies of the requests that have arrived so far.
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

// Routes returns a handler that serves the calls of the backend server.
func (r *Replica) Routes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.holdDark(q)
		switch q.URL.Path {
		case "/report":
			r.report(w)
		case "/kv-move":
			r.copyRun(w, q)
		case "/": // A query of the server's identity.
			id, _ := r.identity()
			w.Header().Set("Fulmarvalve-Replica-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			r.answer(w, q)
		}
	})
}

// report responds with the state of the engine.
func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([][]any, 0, len(r.runs))
	used := 0
	for id, run := range r.runs {
		// A row holds the request ID, the tokens in memory, the generated events and
		// the priority.
		rows = append(rows, []any{id, run.tokens, run.events, 5})
		used += run.tokens
	}
	report := map[string]any{
		"born": r.born(), "state": "ready", "queued": 0, "running": len(rows), "kv_used": used, "kv_total": memoryTokens, "runs": rows,
	}
	if !r.shutdownAt.IsZero() {
		report["state"] = "draining"
		report["leaves_ms"] = max(time.Until(r.shutdownAt).Milliseconds(), 0)
	}
	_ = json.NewEncoder(w).Encode(report)
}

// copyRun copies a run for another server and responds with a handle, with which the
// other server can resume the run. The last copy request of a run stops it first.
func (r *Replica) copyRun(w http.ResponseWriter, q *http.Request) {
	var message struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	_ = json.NewDecoder(q.Body).Decode(&message)
	r.mu.Lock()
	running, ok := r.runs[message.ID]
	faults := r.faults
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if faults.RefuseMigrations {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if message.Last {
		close(running.stop)
	}
	time.Sleep(time.Duration(cmp.Or(faults.CopyMillis, copyMillis)) * time.Millisecond)
	r.mu.Lock()
	created := running.events
	r.mu.Unlock()
	if faults.CutCopies && message.Last {
		cutHead(w, faults)
		return
	}
	reply := map[string]any{"handle": r.Group.issue(message.ID), "created": created}
	if faults.RefuseCopies || (faults.RefuseLastCopies && message.Last) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// issue returns a new handle for a run.
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

// redeem reports whether a Kv-From header, which has the form address/handle, holds a
// valid handle of the run with a request ID. It invalidates the handle if so.
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

// number returns the integer in a header, or zero if the header is absent.
func number(h http.Header, name string) int {
	value, _ := strconv.Atoi(h.Get(name))
	return value
}
