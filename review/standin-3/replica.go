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

// heartbeatMillis is the time between two reports of a server to the store.
const heartbeatMillis = 1200

// arrival is a request that reached a server.
type arrival struct {
	at       time.Time
	id       string
	target   string
	ran      bool
	ended    time.Time
	whole    bool
	declined int
}

// run is a stream that is being generated.
type run struct {
	prompt, events int
	stop           chan struct{}
}

// server is a stand-in for a backend server: a model engine, or a plain service.
type server struct {
	id, service, zone, address string
	// ownAddress is the address at which the server listens; address is the one that is listed.
	ownAddress          string
	born                int64
	engine, behindProxy bool
	slots, memory       int
	// workMillis is the time of a plain answer, and eventMillis that of an event of a stream.
	workMillis, eventMillis int
	trace                   *trace
	store                   *store

	mu       sync.Mutex
	seq      int64
	state    string
	leavesAt time.Time
	arrivals []*arrival
	runs     map[string]*run
	// hidden keeps the server out of the list, as it has not started yet.
	hidden bool
	// full makes the server report that its memory and slots are taken, and decline each request.
	full bool
	// preemptedUntil is the time until which the running streams are preempted.
	preemptedUntil time.Time
	// unframed makes streams end with their connections, without a length or chunks.
	unframed bool
	listener net.Listener
	// open holds the connections of unframed streams.
	open map[net.Conn]bool
	// path is the proxy by which the server is listed; nil for none.
	path *proxy
	// onOrder is called with each order to copy a run; nil for nothing.
	onOrder func(last bool)
	// copies holds the handles of the runs that were copied, which the engines of a service share; nil if there is room
	// at no destination.
	copies *copies
}

// copyMillis is the time of a copy of a run.
const copyMillis = 15

// copies holds the handles that were not used yet, with the IDs of their requests.
type copies struct {
	mu      sync.Mutex
	handles map[string]string
	last    int
}

func newCopies() *copies { return &copies{handles: make(map[string]string)} }

// issue returns a new handle for a run.
func (c *copies) issue(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	handle := fmt.Sprintf("h%d", c.last)
	c.handles[handle] = id
	return handle
}

// redeem uses a handle, which has the form ADDRESS/HANDLE. It returns false if it is none of the run.
func (c *copies) redeem(from, id string) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, handle, _ := strings.Cut(from, "/")
	if c.handles[handle] != id {
		return false
	}
	delete(c.handles, handle)
	return true
}

// newEngine returns an engine of the size of the sheet.
func newEngine(n int) *server {
	return &server{id: fmt.Sprintf("i-coach-%02d", n+1), service: "coach-lm", engine: true, slots: 24, memory: 34267, eventMillis: 30}
}

// serve answers requests at an address until the process ends.
func (s *server) serve(group *sync.WaitGroup, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.state = listener.Addr().String(), "ready"
	s.ownAddress = s.address
	if s.behindProxy {
		ip, _, _ := net.SplitHostPort(address)
		if s.path, err = startProxy(group, ip+":0", s.address); err != nil {
			return err
		}
		s.address = s.path.listener.Addr().String()
	}
	s.begin(group, listener)
	group.Go(func() {
		for {
			s.beat()
			time.Sleep(heartbeatMillis * time.Millisecond)
		}
	})
	return nil
}

// begin begins a lifetime of the server, which knows nothing of those before.
func (s *server) begin(group *sync.WaitGroup, listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.seq, s.listener = time.Now().UnixMilli(), 0, listener
	s.runs, s.open = make(map[string]*run), make(map[net.Conn]bool)
	group.Go(func() { _ = http.Serve(listener, s) }) //nolint:gosec // a stand-in needs no timeouts
}

// crash ends the server as the end of its process does: the system closes its port and its connections. It starts
// again, under the ID and at the address that it had, after a time.
func (s *server) crash(group *sync.WaitGroup, down time.Duration) error {
	s.mu.Lock()
	s.trace.printf("server %s crashes with %d runs", s.id, len(s.runs))
	_ = s.listener.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.open = nil
	s.mu.Unlock()
	time.Sleep(down)
	listener, err := net.Listen("tcp", s.ownAddress)
	if err != nil {
		return err
	}
	s.begin(group, listener)
	s.trace.printf("server %s has started again", s.id)
	s.beat()
	return nil
}

// entry is what a server writes to the list.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	ColdMS  int64  `json:"cold_ms"`
	Born    int64  `json:"born"`
	Seq     int64  `json:"seq"`
}

// beat reports the server to the store. The entry changes when more than its sequence number does.
func (s *server) beat() {
	s.mu.Lock()
	if s.hidden {
		s.mu.Unlock()
		return
	}
	s.seq++
	e := entry{s.service, s.address, s.zone, "v1", s.slots, s.state, 0, s.born, s.seq}
	s.mu.Unlock()
	if s.store.isAway() {
		return
	}
	var listed entry
	if json.Unmarshal(s.store.newest("keyed.servers", s.id), &listed) == nil {
		listed.Seq = e.Seq
		if listed == e {
			return
		}
	}
	data, _ := json.Marshal(e)
	s.store.put("keyed.servers", s.id, data)
}

// drain makes the server leave after a time.
func (s *server) drain(after time.Duration) {
	s.mu.Lock()
	s.state, s.leavesAt = "draining", time.Now().Add(after)
	s.mu.Unlock()
	s.trace.printf("server %s is draining, leaves in %d ms", s.id, after.Milliseconds())
	s.beat()
}

// preempt stops the running streams for a time.
func (s *server) preempt(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preemptedUntil = time.Now().Add(pause)
	s.trace.printf("server %s has preempted %d runs for %d ms", s.id, len(s.runs), pause.Milliseconds())
}

// setFull says whether the server has room.
func (s *server) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// end ends the server for good, as the end of its process does. Its entry stays until it lapses.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace.printf("server %s crashes for good", s.id)
	s.hidden = true
	_ = s.listener.Close()
}

// join lists a server that was hidden.
func (s *server) join() {
	s.mu.Lock()
	s.hidden = false
	s.mu.Unlock()
	s.trace.printf("server %s joins", s.id)
	s.beat()
}

func (s *server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// arrived returns copies of the requests that have reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []arrival
	for _, a := range s.arrivals {
		all = append(all, *a)
	}
	return all
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if handle, ok := strings.CutPrefix(r.URL.Path, "/kv-handle/"); ok {
		s.trace.printf("server %s frees the copy %s", s.id, handle)
		s.copies.free(handle)
		return
	}
	switch r.URL.Path {
	case "/report":
		s.report(w)
	case "/health":
		w.Header().Set("Fulmarvalve-Replica-Id", s.id)
	case "/kv-move":
		s.move(w, r)
	default:
		s.answer(w, r)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, used := [][]any{}, 0
	for id, r := range s.runs {
		tokens := r.prompt + 4*r.events
		rows = append(rows, []any{id, tokens, r.events, 5})
		used += tokens
	}
	report := map[string]any{
		"born": s.born, "stage": "hybrid", "busy": false, "seq": s.seq, "queued": 0, "running": len(rows),
		"kv_used": used, "kv_total": s.memory, "handles": 0, "state": s.state, "runs": rows,
	}
	if s.full {
		report["running"], report["kv_used"] = s.slots, s.memory
	}
	if !s.leavesAt.IsZero() {
		report["leaves_ms"] = max(time.Until(s.leavesAt).Milliseconds(), 0)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// free drops a handle.
func (c *copies) free(handle string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handles, handle)
}

// move answers an order to copy a run.
func (s *server) move(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.trace.printf("server %s gets the order %s", s.id, body)
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	_ = json.Unmarshal(body, &order)
	if s.onOrder != nil {
		s.onOrder(order.Last)
	}
	s.mu.Lock()
	running, ok := s.runs[order.ID]
	s.mu.Unlock()
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case s.copies == nil && order.Last:
		close(running.stop)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"handle":"none","created":%d}`, running.events)
	case s.copies == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		if order.Last {
			close(running.stop)
		}
		time.Sleep(copyMillis * time.Millisecond)
		s.mu.Lock()
		created := running.events
		s.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"handle":%q,"created":%d}`, s.copies.issue(order.ID), created)
	}
}

// answer handles a request of a caller. A request for another server, and one for which there is no room, does not run.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	a := &arrival{at: time.Now(), id: r.Header.Get("Fulmarvalve-Request-Id"), target: r.RequestURI}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	full := s.full
	s.mu.Unlock()
	w.Header().Set("Fulmarvalve-Request-Id", a.id)
	if expected := r.Header.Get("Fulmarvalve-Expect-Instance"); expected != "" && expected != s.id {
		a.declined = http.StatusMisdirectedRequest
		w.Header().Set("Fulmarvalve-Replica-Id", s.id)
		w.WriteHeader(a.declined)
		return
	}
	if from := r.Header.Get("Kv-From"); s.engine && from != "" && !s.copies.redeem(from, a.id) {
		full = true
	}
	if full {
		a.declined = http.StatusServiceUnavailable
		s.trace.printf("server %s (%s) declines %s %s: full", s.id, s.service, a.id, a.target)
		w.Header().Set("Fulmarvalve-Not-Executed", "1")
		w.WriteHeader(a.declined)
		return
	}
	s.mu.Lock()
	a.ran = true
	s.mu.Unlock()
	s.trace.printf("server %s (%s) runs %s %s", s.id, s.service, a.id, a.target)
	w.Header().Set("Fulmarvalve-Response-Signature", "proof-"+s.id+"-"+a.id)
	if s.engine && r.Header.Get("Fulmarvalve-Token-Usage") != "" {
		s.stream(w, r, a)
		return
	}
	select {
	case <-time.After(time.Duration(s.workMillis) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + a.id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// stream generates the events after the last one that the caller has. The size of the output is the maximum.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival) {
	prompt, output, _ := strings.Cut(r.Header.Get("Fulmarvalve-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	running := &run{prompt: promptTokens, events: last, stop: make(chan struct{})}
	s.mu.Lock()
	s.runs[a.id] = running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs, a.id)
		a.ended = time.Now()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	if s.unframed {
		s.streamUnframed(w, a, running, outputTokens/4)
		return
	}
	for event := last + 1; event <= outputTokens/4; event++ {
		for wait := time.Duration(s.eventMillis) * time.Millisecond; wait > 0; wait = s.pause() {
			select {
			case <-time.After(wait):
			case <-running.stop:
				s.trace.printf("server %s stops %s at event %d by order", s.id, a.id, event)
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				s.trace.printf("server %s sees the end of the connection of %s before event %d", s.id, a.id, event)
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", event, event, a.id)
		_ = http.NewResponseController(w).Flush()
		s.mu.Lock()
		running.events = event
		s.mu.Unlock()
	}
	a.whole = true
	s.trace.printf("server %s has made all events of %s", s.id, a.id)
}

// pause returns for how long the running streams are still preempted.
func (s *server) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.preemptedUntil), 0)
}

// streamUnframed generates a stream without a length or chunks.
func (s *server) streamUnframed(w http.ResponseWriter, a *arrival, running *run, events int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	s.open[conn] = true
	born := s.born
	s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nFulmarvalve-Request-Id: " + a.id +
		"\r\nFulmarvalve-Response-Signature: " + w.Header().Get("Fulmarvalve-Response-Signature") + "\r\n\r\n"
	_, err = io.WriteString(conn, head)
	for event := running.events + 1; event <= events && err == nil; event++ {
		select {
		case <-time.After(time.Duration(s.eventMillis) * time.Millisecond):
		case <-running.stop:
			s.trace.printf("server %s stops %s before event %d by order", s.id, a.id, event)
			return
		}
		_, err = fmt.Fprintf(conn, "id: %d\ndata: event %d of %s\n\n", event, event, a.id)
		if err == nil && event == events {
			a.whole = true
		}
		s.mu.Lock()
		if s.born == born && err == nil {
			running.events = event
		}
		s.mu.Unlock()
	}
	s.trace.printf("server %s ends the stream of %s after event %d, whole %t", s.id, a.id, running.events, a.whole)
}
