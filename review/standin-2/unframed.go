package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	shortDrafts = 300
	longDrafts  = 18
	longEvents  = 130
	// maxTokens is the largest output, as on the sheet: 554 events of four tokens.
	maxTokens = 2216
	// leavesIn is the time from the notice of the engine until it exits.
	leavesIn = 4500 * time.Millisecond
)

// draft sends one draft over a new channel and returns whether it came whole, with the number of its events.
func draft(s *site, address, path string, events int) (id string, whole bool) {
	id = newID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return id, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(39 * time.Second))
	text := head(http.MethodPost, path, id, generation(id, 300, maxTokens), 39000, 2)
	status, answer, err := send(conn, bufio.NewReader(conn), http.MethodPost, text, "{}")
	got := strings.Count(answer, "\n\n")
	whole = err == nil && status == http.StatusOK && got == events
	if events == longEvents || !whole {
		s.note("draft %s: status %d, %d of %d events, whole %t, %v", id, status, got, events, whole, err)
	}
	return id, whole
}

// returnedRuns plays an engine that leaves, whose runs find no room elsewhere and go on where they were stopped, around
// a planned stop of the entry host.
func returnedRuns(s *site) (bool, error) {
	s.configure(usualLimits(), []map[string]any{
		route("draft", "/draft/", "streaming", "coach-lm", 39000, 1, false),
		route("check", "/check/", "streaming", "coach-lm", 6000, 2, true),
	}, []map[string]any{engineService("coach-lm")})
	for range 3 {
		if _, err := s.addEngine("coach-lm"); err != nil {
			return false, err
		}
	}
	if err := s.addEntries(1, memoryLimitMB); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	e := s.entries[0]
	var short sync.WaitGroup
	for range shortDrafts {
		short.Go(func() { draft(s, e.addr(), "/check/2", 2) })
		time.Sleep(8 * time.Millisecond)
	}
	short.Wait()
	time.Sleep(stableWindow / 2)
	var cut atomic.Int64
	var long sync.WaitGroup
	for range longDrafts {
		long.Go(func() {
			if _, whole := draft(s, e.addr(), fmt.Sprintf("/draft/%d", longEvents), longEvents); !whole {
				cut.Add(1)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	leaver, err := s.mostUnframed()
	if err != nil {
		return false, err
	}
	s.note("SIGTERM to %s; its grace period is 8 s", e.name)
	signalTo(e.pid, syscall.SIGTERM)
	if s.trouble {
		leaver.engine.mu.Lock()
		leaver.engine.shutdownAt = time.Now().Add(leavesIn)
		leaver.engine.mu.Unlock()
		s.register(leaver, "draining")
		s.note("%s is draining and leaves in %v", leaver.id, leavesIn)
	}
	long.Wait()
	s.note("%d channels ended without the whole answer around a planned stop, one breaks the rule", cut.Load())
	return cut.Load() > 0, nil
}

// mostUnframed returns the engine with the most streams without a length.
func (s *site) mostUnframed() (*replica, error) {
	var best *replica
	for _, r := range s.replicas {
		if best == nil || r.engine.unframed > best.engine.unframed {
			best = r
		}
	}
	if best == nil || best.engine.unframed == 0 {
		return nil, fmt.Errorf("no stream without a length")
	}
	return best, nil
}
