package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// answerEarly is the behaviour of a sound server that begins its answer before it has read a long body, keeps the
// channel and reads on later.
func answerEarly(readAfter time.Duration, events int, pause time.Duration) func(*replica, http.ResponseWriter, *http.Request, *arrival) {
	return func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var reading sync.WaitGroup
		reading.Go(func() {
			time.Sleep(readAfter)
			n, err := io.CopyN(io.Discard, buffered, q.ContentLength)
			a.body = int(n)
			r.site.note("%s read %d of %d bytes of the body of %s, %v", r.id, n, q.ContentLength, a.id, err)
		})
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: %s.%s\r\n"+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id, r.id, a.id)
		written := 0
		for n := 1; n <= events && err == nil; n++ {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, a.id)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			written = n
		}
		if err == nil {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		r.site.note("%s wrote %d events of %s, %v", r.id, written, a.id, err)
		reading.Wait()
	}
}

const (
	lateBodyBytes = 1 << 20
	lateEvents    = 60
	latePause     = 100 * time.Millisecond
	// lateReadAfter is the time for which a server leaves a body unread after it has begun its answer.
	lateReadAfter = 5 * time.Second
	// stableWindow is the time without unplanned disruption before the requests.
	stableWindow = 3 * time.Second
)

// draftOnKeptChannel sends a small request and then, on the same channel, a draft with a long body. It returns
// whether the channel ended without the whole answer of the draft.
func draftOnKeptChannel(s *site, address, body string) (bool, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(39 * time.Second))
	reader := bufio.NewReader(conn)
	status, _, err := send(conn, reader, http.MethodPost, head(http.MethodPost, "/book/1", newID(), "", 2500, 0), "")
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first request on a channel: status %d, %w", status, err)
	}
	id := newID()
	began := time.Now()
	s.note("draft %s sent with a body of %d bytes", id, len(body))
	status, answer, err := send(conn, reader, http.MethodPost, head(http.MethodPost, "/draft/1", id, generation(id, 300, 4*lateEvents), 39000, len(body)), body)
	events := strings.Count(answer, "\n\n")
	s.note("draft %s: status %d, %d of %d events in %.2f s, %v", id, status, events, lateEvents, time.Since(began).Seconds(), err)
	return err != nil || status != http.StatusOK || events != lateEvents, nil
}

// lateReads plays a planned stop while sound servers answer drafts whose bodies they read later.
func lateReads(s *site) (bool, error) {
	s.configure(usualLimits(), []map[string]any{
		route("draft", "/draft/", "streaming", "coach-lm", 39000, 1, false),
		route("book", "/book/", "unsafe", "gym-desk", 2500, 1, false),
	}, []map[string]any{engineService("coach-lm"), {"name": "gym-desk"}})
	readAfter := time.Duration(0)
	if s.trouble {
		readAfter = lateReadAfter
	}
	for range 2 {
		r, err := s.addReplica("coach-lm", 24, answerEarly(readAfter, lateEvents, latePause))
		if err != nil {
			return false, err
		}
		if err := s.addMonitor(r); err != nil {
			return false, err
		}
	}
	if _, err := s.addReplica("gym-desk", 6, answerPlain); err != nil {
		return false, err
	}
	if err := s.addEntries(1, 134); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	e := s.entries[0]
	body := strings.Repeat("b", lateBodyBytes)
	var cut atomic.Int64
	var failed atomic.Pointer[error]
	var clients sync.WaitGroup
	for range 5 {
		clients.Go(func() {
			isCut, err := draftOnKeptChannel(s, e.addr(), body)
			if err != nil {
				failed.Store(&err)
			}
			if isCut {
				cut.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	s.note("SIGTERM to %s; its grace period is 8 s", e.name)
	signalTo(e.pid, syscall.SIGTERM)
	clients.Wait()
	time.Sleep(time.Second) // the servers note how far they came
	if err := failed.Load(); err != nil {
		return false, *err
	}
	s.note("%d channels ended without the whole answer of a sound server around a planned stop", cut.Load())
	return cut.Load() > 0, nil
}
