package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// longStream is the number of events from which a stream may come without a length, and maxUnframedShare the
	// share of an engine's answers that do.
	longStream       = 50
	maxUnframedShare = 0.03
	eventPause       = 28 * time.Millisecond
	copyTime         = 20 * time.Millisecond
)

// engine is the part of a server that has runs, which it can copy, stop and go on with.
type engine struct {
	r *replica

	mu sync.Mutex
	// runs holds the runs by request ID, and handles the memory of stopped or copied ones.
	runs    map[string]*modelRun
	handles map[string]*modelRun
	issued  int
	// answers is the number of streams so far, and unframed that of streams without a length.
	answers, unframed int
	// shutdownAt is zero unless the server leaves.
	shutdownAt time.Time
}

type modelRun struct {
	id                   string
	prompt, events, last int
	unframed             bool
	stop                 chan struct{}
}

// serve answers the calls about runs, and reports whether q is one.
func (e *engine) serve(w http.ResponseWriter, q *http.Request) bool {
	switch {
	case q.URL.Path == "/report":
		e.report(w)
	case q.URL.Path == "/kv-move":
		e.move(w, q)
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	default:
		return false
	}
	return true
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := [][]any{}
	used := 0
	for _, run := range e.runs {
		tokens := run.prompt + 4*run.events
		rows = append(rows, []any{run.id, tokens, run.events, 5})
		used += tokens
	}
	state := map[string]any{
		"stage": "hybrid", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": len(rows), "kv_used": used,
		"kv_total": 34267, "handles": len(e.handles), "state": "ready", "runs": rows, "born": e.r.born,
	}
	if !e.shutdownAt.IsZero() {
		state["state"] = "draining"
		state["leaves_ms"] = max(time.Until(e.shutdownAt).Milliseconds(), 0)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

// move copies a run. The last copy stops the run first and closes its stream without its end; the destination then
// has no room for what is new, so that the answer is 503 with the handle.
func (e *engine) move(w http.ResponseWriter, q *http.Request) {
	var m struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	_ = json.NewDecoder(q.Body).Decode(&m)
	e.mu.Lock()
	moved, known := e.runs[m.ID]
	if known && m.Last {
		delete(e.runs, m.ID)
		close(moved.stop)
	}
	e.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(copyTime)
	e.mu.Lock()
	e.issued++
	handle := fmt.Sprintf("h%d-%s", e.issued, m.ID)
	e.handles[handle] = moved
	created := moved.events
	e.mu.Unlock()
	status := http.StatusOK
	if m.Last {
		status = http.StatusServiceUnavailable
	}
	e.r.site.note("%s: move of %s to %s, last %t: %d, %s, %d events", e.r.id, m.ID, m.Target, m.Last, status, handle, created)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": created})
}

// resumed returns the stopped run of a request that is sent with a handle, or nil if the handle is of no stopped run.
func (e *engine) resumed(from, id string) *modelRun {
	address, handle, _ := strings.Cut(from, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	stopped, known := e.handles[handle]
	if !known || address != e.r.addr() || stopped.id != id || e.runs[id] != nil {
		return nil
	}
	for other, run := range e.handles {
		if run == stopped {
			delete(e.handles, other)
		}
	}
	return stopped
}

// behave is the behaviour of the engine: a stream of as many events as the path says, for some long ones without a
// length.
func (e *engine) behave(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
	_, _ = io.Copy(io.Discard, q.Body)
	prompt, _, _ := strings.Cut(q.Header.Get("Fulmarvalve-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	events, _ := strconv.Atoi(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
	done, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	current := &modelRun{id: a.id, prompt: promptTokens, events: done, last: events, stop: make(chan struct{})}
	if from := q.Header.Get("Kv-From"); from != "" {
		stopped := e.resumed(from, a.id)
		if stopped == nil {
			w.Header().Set("Fulmarvalve-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.site.note("%s goes on with %s from %s after event %d", r.id, a.id, from, done)
		current.unframed = stopped.unframed
	}
	e.mu.Lock()
	e.answers++
	if events >= longStream && !current.unframed && float64(e.unframed+1) <= maxUnframedShare*float64(e.answers) {
		e.unframed++
		current.unframed = true
		r.site.note("%s answers %s without a length, %d of its %d answers", r.id, a.id, e.unframed, e.answers)
	}
	e.runs[a.id] = current
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[a.id] == current {
			delete(e.runs, a.id)
		}
	}()
	if !current.unframed {
		w.Header().Set("Content-Type", "text/event-stream")
		if !e.write(w, func() { _ = http.NewResponseController(w).Flush() }, q.Context().Done(), current) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: %s.%s\r\n"+
		"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", a.id, r.id, a.id)
	whole := e.write(conn, func() {}, nil, current)
	r.site.note("%s has written %s up to event %d of %d, whole %t", r.id, a.id, current.events, current.last, whole)
}

// write writes the events of a run, and reports whether it has written all.
func (e *engine) write(w io.Writer, flush func(), gone <-chan struct{}, current *modelRun) bool {
	for current.events < current.last {
		select {
		case <-current.stop:
			return false
		case <-gone:
			return false
		case <-time.After(eventPause):
		}
		n := current.events + 1
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, current.id); err != nil {
			return false
		}
		flush()
		e.mu.Lock()
		current.events = n
		e.mu.Unlock()
	}
	return true
}

// addEngine starts an engine with the process beside it.
func (s *site) addEngine(service string) (*replica, error) {
	e := &engine{runs: make(map[string]*modelRun), handles: make(map[string]*modelRun)}
	r, err := s.newReplica(service, 24, e.behave)
	if err != nil {
		return nil, err
	}
	e.r, r.engine = r, e
	listener, err := net.Listen("tcp", r.addr())
	if err != nil {
		return nil, err
	}
	s.serveReplica(r, listener)
	return r, s.addMonitor(r)
}
