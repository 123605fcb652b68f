package main

import (
	"bufio"
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
	// memoryTokens is the memory of an engine, and tokensPerEvent the tokens of one event.
	memoryTokens   = 34267
	tokensPerEvent = 4
	// copyMillis is the time that a copy of a run takes.
	copyMillis = 60
)

// run is one request that a replica has begun to work on.
type run struct {
	id      string
	server  string
	began   time.Time
	ended   time.Time
	how     string // how it ended
	route   string
	tokens  int
	events  int
	resumed bool
	stopped bool
	stop    chan struct{}
	// again says that the request goes on after events of another run, and madeAt is the time of the
	// last event.
	again  bool
	madeAt time.Time
}

// server is a stand-in for a replica: a model engine or a plain service. It keeps the pages: it
// answers 421 to a request for another instance, 503 with Fulmarvalve-Not-Executed when it is full,
// signs its answers and drops a request whose channel closes.
type server struct {
	site                       *site
	id, service, zone, address string
	slots                      int
	engine                     bool
	born                       int64

	// eventMillis is the time between two events, and workMillis the time of a plain answer.
	eventMillis, workMillis int

	mu       sync.Mutex
	seq      int
	state    string
	leavesAt time.Time
	// full makes the replica decline what is new; unframed returns whether a stream has neither a
	// length nor chunks and ends with its channel; spoils returns whether a byte of the name of the
	// signature header is wrong; pause returns how long a stream pauses before an event.
	full     bool
	unframed func(r *run) bool
	spoils   func(r *run) bool
	pause    func(r *run, event int) time.Duration
	// loses returns whether the answer of a run is lost: the replica works on it, and nothing arrives.
	loses func(r *run) bool

	active   map[string]*run
	runs     []*run
	arrivals []arrival
	handles  map[string]*handle
	listener net.Listener
	quit     chan struct{}
}

// arrival is a request that has reached a replica.
type arrival struct {
	id string
	at time.Time
}

// handle is the memory of a run that was copied or stopped.
type handle struct {
	id      string // the request
	target  string // address of the replica with the copy
	created int
	used    bool
}

func newServer(s *site, id, service, zone, address string, slots int, engine bool) *server {
	return &server{
		site: s, id: id, service: service, zone: zone, address: address, slots: slots, engine: engine,
		born: time.Now().UnixMilli(), state: "ready", eventMillis: 30, workMillis: 15,
		active: map[string]*run{}, handles: map[string]*handle{}, quit: make(chan struct{}),
	}
}

func (s *server) start() {
	l, err := net.Listen("tcp", s.address)
	must(err)
	s.listener = l
	s.beat()
	background.Go(func() {
		for {
			select {
			case <-s.quit:
				return
			case <-time.After(heartbeatMillis * time.Millisecond):
				s.beat()
			}
		}
	})
	background.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			background.Go(func() { s.serve(conn) })
		}
	})
}

// beat writes the replica's entry into the store.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.quit:
		return
	default:
	}
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold_ms": 0, "seq": s.seq, "born": s.born,
	}
	data, _ := json.Marshal(entry)
	s.site.store.put("keyed.servers", s.id, data)
}

// drain makes the replica leave after a time: it reports draining at once and serves what it has.
func (s *server) drain(after time.Duration) {
	s.mu.Lock()
	s.state = "draining"
	s.leavesAt = time.Now().Add(after)
	s.mu.Unlock()
	s.beat()
	s.site.rec.note("replica %s (%s) is draining, leaves in %v; accepted by the store", s.id, s.address, after)
	time.AfterFunc(after, func() {
		s.mu.Lock()
		close(s.quit)
		s.mu.Unlock()
		s.site.store.put("keyed.servers", s.id, nil)
		_ = s.listener.Close()
		s.site.rec.note("replica %s has left", s.id)
	})
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !s.answer(conn, reader, q, body) {
			return
		}
	}
}

// write sends a whole answer.
func (s *server) write(conn net.Conn, status int, header map[string]string, body []byte) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if s.leaving() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	_, err := conn.Write(append([]byte(b.String()), body...))
	return err == nil
}

func (s *server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != "ready"
}

// answer answers one request and reports whether the channel stays open.
func (s *server) answer(conn net.Conn, reader *bufio.Reader, q *http.Request, body []byte) bool {
	id := q.Header.Get("Fulmarvalve-Request-Id")
	if expected := q.Header.Get("Fulmarvalve-Expect-Instance"); expected != "" && expected != s.id {
		return s.write(conn, http.StatusMisdirectedRequest, map[string]string{"Fulmarvalve-Replica-Id": s.id}, nil)
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/report" && s.engine:
		return s.write(conn, http.StatusOK, map[string]string{"Content-Type": "application/json"}, s.report())
	case q.Method == http.MethodGet && q.URL.Path == "/health":
		status := http.StatusOK
		if s.leaving() {
			status = http.StatusServiceUnavailable
		}
		return s.write(conn, status, map[string]string{"Fulmarvalve-Replica-Id": s.id}, nil)
	case q.Method == http.MethodPost && q.URL.Path == "/kv-move" && s.engine:
		status, reply := s.move(body)
		return s.write(conn, status, map[string]string{"Content-Type": "application/json"}, reply)
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
		return s.write(conn, http.StatusOK, nil, nil)
	}
	if id == "" {
		return s.write(conn, http.StatusBadRequest, map[string]string{"Fulmarvalve-Not-Executed": "1"}, nil)
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	r, ok := s.begin(id, q)
	if !ok {
		s.site.rec.note("replica %s declines %s", s.id, id)
		return s.write(conn, http.StatusServiceUnavailable,
			map[string]string{"Fulmarvalve-Request-Id": id, "Fulmarvalve-Not-Executed": "1"}, nil)
	}
	gone := make(chan struct{})
	background.Go(func() {
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	})
	if strings.HasPrefix(q.URL.Path, "/stream") {
		s.stream(conn, q, r, gone)
	} else {
		s.plain(conn, r, gone)
	}
	return false
}

// begin admits a request, or reports false when the replica has no slot or no such copy.
func (s *server) begin(id string, q *http.Request) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &run{id: id, server: s.id, began: time.Now(), route: q.URL.Path, stop: make(chan struct{})}
	if from := q.Header.Get("Kv-From"); from != "" {
		h := s.site.handle(from)
		if h == nil || h.used || h.id != id {
			return nil, false
		}
		h.used = true
		r.resumed = true
	} else if s.full || len(s.active) >= s.slots {
		return nil, false
	}
	usage, _, _ := strings.Cut(q.Header.Get("Fulmarvalve-Token-Usage"), ",")
	r.tokens, _ = strconv.Atoi(usage)
	r.events, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.tokens += r.events * tokensPerEvent
	r.again = r.events > 0
	s.active[id] = r
	s.runs = append(s.runs, r)
	s.site.rec.note("replica %s runs %s %s%s", s.id, id, r.route, map[bool]string{true: " from a copy, after event " + q.Header.Get("Last-Event-Id")}[r.resumed])
	return r, true
}

func (s *server) end(r *run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[r.id] == r {
		delete(s.active, r.id)
	}
	r.ended, r.how = time.Now(), how
	s.site.rec.note("replica %s: run of %s ends after event %d: %s", s.id, r.id, r.events, how)
}

func (s *server) signature(r *run) string { return "sig." + s.id + "." + r.id }

func (s *server) plain(conn net.Conn, r *run, gone chan struct{}) {
	select {
	case <-time.After(time.Duration(s.workMillis) * time.Millisecond):
	case <-gone:
		s.end(r, "its channel was closed")
		return
	}
	body := []byte("answer to " + r.id + strings.Repeat(".", 760))
	if !s.write(conn, http.StatusOK, map[string]string{"Fulmarvalve-Request-Id": r.id, "Fulmarvalve-Response-Signature": s.signature(r)}, body) {
		s.end(r, "its answer was not taken")
		return
	}
	s.end(r, "answered")
}

// stream sends the events after the last one that the client has, up to the maximum size.
func (s *server) stream(conn net.Conn, q *http.Request, r *run, gone chan struct{}) {
	_, output, _ := strings.Cut(q.Header.Get("Fulmarvalve-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	events := tokens / tokensPerEvent
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nFulmarvalve-Request-Id: " + r.id + "\r\nFulmarvalve-Weight-Versions: 1\r\n"
	if s.spoils != nil && s.spoils(r) {
		head += "Fulmarvalve-Respon#e-Signature: " + s.signature(r) + "\r\n"
		s.site.rec.note("replica %s spoils a byte of its answer to %s: the name of its signature header is wrong", s.id, r.id)
	} else {
		head += "Fulmarvalve-Response-Signature: " + s.signature(r) + "\r\n"
	}
	if s.leaving() {
		head += "Server-Leaving: 1\r\n"
	}
	send := conn.Write
	lost := s.loses != nil && s.loses(r)
	if lost {
		send = func(data []byte) (int, error) { return len(data), nil }
	}
	chunk := func(text string) error {
		_, err := fmt.Fprintf(sender(send), "%x\r\n%s\r\n", len(text), text)
		return err
	}
	unframed := s.unframed != nil && s.unframed(r)
	if unframed {
		s.site.rec.note("replica %s answers %s without length or chunks", s.id, r.id)
		head += "Connection: close\r\n\r\n"
		chunk = func(text string) error {
			_, err := send([]byte(text))
			return err
		}
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	for event := r.events + 1; event <= events; event++ {
		wait := time.Duration(s.eventMillis) * time.Millisecond
		if s.pause != nil {
			wait += s.pause(r, event)
		}
		select {
		case <-time.After(wait):
		case <-gone:
			s.end(r, "its channel was closed")
			return
		case <-r.stop:
			// The stream is closed without its end.
			s.end(r, "stopped by a move")
			return
		case <-s.quit:
			s.end(r, "the replica has left")
			return
		}
		text := head
		head = ""
		if text != "" {
			if _, err := send([]byte(text)); err != nil {
				s.end(r, "its channel was closed")
				return
			}
		}
		if err := chunk(fmt.Sprintf("id: %d\ndata: event %d of %d of %s\n\n", event, event, events, r.id)); err != nil {
			s.end(r, "its channel was closed")
			return
		}
		s.mu.Lock()
		r.events = event
		r.madeAt = time.Now()
		r.tokens += tokensPerEvent
		s.mu.Unlock()
	}
	if !unframed {
		_, _ = send([]byte("0\r\n\r\n"))
	}
	s.end(r, "complete")
	if lost {
		<-gone // there is no response; the channel stays open
	}
}

// sender is a writer that calls a function.
type sender func([]byte) (int, error)

// Write calls the function.
func (s sender) Write(data []byte) (int, error) { return s(data) }

// report is the replica's state.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	used := 0
	for _, r := range s.active {
		rows = append(rows, []any{r.id, r.tokens, r.events, 5})
		used += r.tokens
	}
	report := map[string]any{
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
		"queued": 0, "running": len(rows), "kv_used": used, "kv_total": memoryTokens, "handles": 0, "state": s.state, "runs": rows, "born": s.born,
	}
	if !s.leavesAt.IsZero() {
		report["leaves_ms"] = max(time.Until(s.leavesAt).Milliseconds(), 0)
	}
	data, _ := json.Marshal(report)
	return data
}

// move copies the memory of a run to another replica; with last, it stops the run first.
func (s *server) move(body []byte) (int, []byte) {
	var order struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.Unmarshal(body, &order) != nil {
		return http.StatusBadRequest, []byte("{}")
	}
	s.mu.Lock()
	r, ok := s.active[order.ID]
	s.mu.Unlock()
	if !ok {
		return http.StatusNotFound, []byte("{}")
	}
	s.site.rec.note("replica %s is asked to move %s to %s, last: %t", s.id, order.ID, order.Target, order.Last)
	if order.Last {
		s.mu.Lock()
		if !r.stopped {
			r.stopped = true
			close(r.stop)
		}
		s.mu.Unlock()
	}
	time.Sleep(copyMillis * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := "h-" + order.ID
	h, ok := s.handles[key]
	if !ok {
		h = &handle{id: order.ID}
		s.handles[key] = h
	}
	h.target, h.created = order.Target, r.events
	reply, _ := json.Marshal(map[string]any{"handle": key, "created": h.created})
	return http.StatusOK, reply
}

// handle returns the handle that a Kv-From header names.
func (s *site) handle(from string) *handle {
	address, key, _ := strings.Cut(from, "/")
	for _, sv := range s.servers {
		if sv.address == address {
			return sv.handles[key]
		}
	}
	return nil
}
