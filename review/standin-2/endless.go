package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	engines         = 11
	enginesAffected = 6
	// unboundedBytes is what an engine in trouble sends at once; after that it goes on with few bytes.
	unboundedBytes = 1_040_000
	draftsEvery    = 33 * time.Millisecond
	draftsFor      = 40 * time.Second
	bookers        = 10
	bookWork       = 1200 * time.Millisecond
	memoryLimitMB  = 134
)

// residentMB returns the anonymous memory of a process that is in use.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// limitMemory is the platform's limit: it kills the process of an entry host that exceeds its memory. It returns
// the most memory that the process had, in MB, and whether it was killed.
func (s *site) limitMemory(e *entry, until <-chan struct{}) (most int, killed bool) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-until:
			return most, false
		case <-ticker.C:
		}
		used := residentMB(e.pid)
		most = max(most, used)
		if n%50 == 0 {
			s.note("%s uses %d MB", e.name, used)
		}
		if used > e.memoryMB {
			s.note("%s uses %d MB, more than its %d MB: the platform kills it", e.name, used, e.memoryMB)
			signalTo(e.pid, syscall.SIGKILL)
			return most, true
		}
	}
}

// bookOnKeptChannel sends bookings over one channel until the time is over, or the channel ends. It returns whether
// the channel was closed without an answer to a booking that had been passed on.
func bookOnKeptChannel(s *site, address string, desk *replica, until <-chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-until:
			return false
		default:
		}
		id := newID()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		status, _, err := send(conn, reader, http.MethodPost, head(http.MethodPost, "/book/1", id, "", 2500, 0), "")
		if err != nil {
			ran := desk.ran(id)
			s.note("booking %s, number %d on its channel: no answer, %v; it had run: %t", id, n+1, err, ran)
			return n > 0 && ran
		}
		if status != http.StatusOK {
			s.note("booking %s: status %d", id, status)
		}
	}
}

// endlessStreams plays engines whose streams go on without end with bytes that are no event.
func endlessStreams(s *site) (bool, error) {
	s.configure(usualLimits(), []map[string]any{
		route("draft", "/draft/", "streaming", "coach-lm", 39000, 1, false),
		route("book", "/book/", "unsafe", "gym-desk", 2500, 1, false),
	}, []map[string]any{engineService("coach-lm"), {"name": "gym-desk"}})
	for n := range engines {
		behave := streamEvents(50, 40*time.Millisecond)
		if s.trouble && n < enginesAffected {
			behave = streamWithoutEnd(unboundedBytes, 2*time.Second)
		}
		r, err := s.addReplica("coach-lm", 24, behave)
		if err != nil {
			return false, err
		}
		if err := s.addMonitor(r); err != nil {
			return false, err
		}
	}
	desk, err := s.addReplica("gym-desk", 24, func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
		time.Sleep(bookWork)
		answerPlain(r, w, q, a)
	})
	if err != nil {
		return false, err
	}
	if err := s.addEntries(1, memoryLimitMB); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	e := s.entries[0]
	over := make(chan struct{})
	var most int
	var killed atomic.Bool
	var unanswered, drafts, whole atomic.Int64
	var watch, bookings, clients sync.WaitGroup
	watch.Go(func() {
		reached, isKilled := s.limitMemory(e, over)
		most = reached
		killed.Store(isKilled)
	})
	for range bookers {
		bookings.Go(func() {
			if bookOnKeptChannel(s, e.addr(), desk, over) {
				unanswered.Add(1)
			}
		})
	}
	for began := time.Now(); time.Since(began) < draftsFor && !killed.Load(); time.Sleep(draftsEvery) {
		clients.Go(func() {
			id := newID()
			drafts.Add(1)
			r := requestAs(id, e.addr(), http.MethodPost, "/draft/1", generation(id, 300, 200), 39*time.Second, "{}")
			if r.err == nil && r.status == http.StatusOK {
				whole.Add(1)
			}
		})
	}
	close(over)
	watch.Wait()
	bookings.Wait()
	if killed.Load() {
		clients.Wait()
	}
	s.note("%d drafts sent, %d answered whole; the entry host used up to %d MB; killed by its memory limit: %t", drafts.Load(), whole.Load(), most, killed.Load())
	s.note("%d kept channels were closed without an answer to a booking that a sound server ran, more than 3 break the rule", unanswered.Load())
	return killed.Load() && unanswered.Load() > 3, nil
}
