package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxServers bounds the servers of a deployment.
const maxServers = 32

// replica is a stand-in for a server. A behaviour answers the requests that the server runs.
type replica struct {
	site       *site
	id, ip     string
	service    string
	slots      int
	born       int64
	monitorPID int

	behave func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival)
	// engine is set for a server that moves its runs.
	engine *engine

	arrived atomic.Int64
	mu      sync.Mutex
	running map[string]int
	log     []*arrival
}

// arrival is a request that a server began to run.
type arrival struct {
	id   string
	body int
	at   time.Time
}

func (r *replica) addr() string { return net.JoinHostPort(r.ip, strconv.Itoa(serverPort)) }

// addReplica starts and registers a server.
func (s *site) addReplica(service string, slots int, behave func(*replica, http.ResponseWriter, *http.Request, *arrival)) (*replica, error) {
	r, err := s.newReplica(service, slots, behave)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", r.addr())
	if err != nil {
		return nil, err
	}
	s.serveReplica(r, listener)
	return r, nil
}

func (s *site) newReplica(service string, slots int, behave func(*replica, http.ResponseWriter, *http.Request, *arrival)) (*replica, error) {
	if len(s.replicas) >= maxServers {
		return nil, fmt.Errorf("more than %d servers", maxServers)
	}
	return &replica{
		site: s, id: fmt.Sprintf("i-%s-%d", service, len(s.replicas)+1), ip: s.ip(), service: service, slots: slots,
		born: time.Now().UnixMilli(), behave: behave, running: make(map[string]int),
	}, nil
}

// serveReplica serves and registers a server.
func (s *site) serveReplica(r *replica, listener net.Listener) {
	s.replicas = append(s.replicas, r)
	s.group.Go(func() { _ = http.Serve(listener, http.HandlerFunc(r.handle)) })
	s.register(r, "ready")
}

func (r *replica) handle(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Fulmarvalve-Request-Id")
	switch {
	case r.engine != nil && r.engine.serve(w, q):
		return
	case q.URL.Path == "/report":
		r.report(w)
		return
	case q.URL.Path == "/health":
		w.Header().Set("Fulmarvalve-Replica-Id", r.id)
		return
	}
	w.Header().Set("Fulmarvalve-Request-Id", id)
	if expected := q.Header.Get("Fulmarvalve-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Fulmarvalve-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Fulmarvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.arrived.Add(1)
	r.mu.Lock()
	if len(r.running) >= r.slots {
		r.mu.Unlock()
		r.site.note("%s full, declines %s", r.id, id)
		w.Header().Set("Fulmarvalve-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prompt, _, _ := strings.Cut(q.Header.Get("Fulmarvalve-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	a := &arrival{id: id, at: time.Now()}
	r.log = append(r.log, a)
	r.running[id] = tokens
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.running, id)
		r.mu.Unlock()
	}()
	w.Header().Set("Fulmarvalve-Response-Signature", r.id+"."+id)
	r.site.note("%s runs %s %s", r.id, id, q.URL.Path)
	r.behave(r, w, q, a)
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := [][]any{}
	used := 0
	for id, tokens := range r.running {
		rows = append(rows, []any{id, tokens, 1, 5})
		used += tokens
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "hybrid", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": len(rows), "kv_used": used,
		"kv_total": 34267, "handles": 0, "state": "ready", "runs": rows, "born": r.born,
	})
}

// answerPlain is the behaviour of a sound plain service.
func answerPlain(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
	body, _ := io.ReadAll(q.Body)
	a.body = len(body)
	time.Sleep(15 * time.Millisecond)
	answer := "answer to " + q.Header.Get("Fulmarvalve-Request-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// streamEvents is the behaviour of a sound engine: count events with a pause between them.
func streamEvents(count int, pause time.Duration) func(*replica, http.ResponseWriter, *http.Request, *arrival) {
	return func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= count; n++ {
			select {
			case <-q.Context().Done():
				return
			case <-time.After(pause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, a.id); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// ran reports whether the server has begun to run a request.
func (r *replica) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.log, func(a *arrival) bool { return a.id == id })
}

// streamWithoutEnd is the behaviour of an engine in trouble: after its first event it sends bytes that
// are no event, without end, until the caller closes.
func streamWithoutEnd(burst int, pause time.Duration) func(*replica, http.ResponseWriter, *http.Request, *arrival) {
	return func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
		garbage := []byte(strings.Repeat("x", 4000))
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: piece 1 of %s\n\n", a.id)
		for sent := 0; q.Context().Err() == nil; sent += len(garbage) {
			if sent >= burst {
				garbage = garbage[:64]
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
			if _, err := w.Write(garbage); err != nil {
				return
			}
		}
	}
}
