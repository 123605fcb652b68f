package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainBound = 2000 * time.Millisecond
	// foreignAfter is the time from the acknowledged draining until the other writer's entry.
	foreignAfter = 2500 * time.Millisecond
	// leavesAfter is the time from then until the leaving server exits.
	leavesAfter  = 3500 * time.Millisecond
	bookEvery    = 30 * time.Millisecond
	bookWorkTime = 400 * time.Millisecond
)

// foreignEntry plays a leaving server whose entry another writer replaces by one with fields missing.
func foreignEntry(s *site) (bool, error) {
	s.configure(usualLimits(), []map[string]any{
		route("book", "/book/", "unsafe", "gym-desk", 2500, 1, false),
	}, []map[string]any{{"name": "gym-desk"}})
	ends := make(chan struct{})
	work := func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
		leaving := ends
		if r != s.replicas[0] {
			leaving = nil
		}
		select {
		case <-leaving:
			s.note("%s exits and breaks %s off", r.id, a.id)
			panic(http.ErrAbortHandler)
		case <-time.After(bookWorkTime):
		}
		answerPlain(r, w, q, a)
	}
	for range 3 {
		if _, err := s.addReplica("gym-desk", 24, work); err != nil {
			return false, err
		}
	}
	if err := s.addEntries(2, memoryLimitMB); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	var clients sync.WaitGroup
	var sent, lost atomic.Int64
	var over atomic.Bool
	clients.Go(func() {
		for n := 0; !over.Load(); n++ {
			clients.Go(func() {
				sent.Add(1)
				r := request(s.entries[n%2].addr(), http.MethodPost, "/book/1", "", 2500*time.Millisecond, "{}")
				s.note("booking %s: status %d, %v", r.id, r.status, r.err)
				if r.status != http.StatusOK {
					lost.Add(1)
				}
			})
			time.Sleep(bookEvery)
		}
	})
	time.Sleep(time.Second)
	leaver := s.replicas[0]
	ackedAt := s.register(leaver, "draining")
	s.note("%s is draining; the store has acknowledged it", leaver.id)
	time.Sleep(time.Until(ackedAt.Add(foreignAfter)))
	if s.trouble {
		value, _ := json.Marshal(map[string]any{"service": leaver.service, "address": leaver.addr(), "zone": "zg-hall-a", "state": "ready"})
		s.store.put("keyed.servers", leaver.id, value)
		s.note("another writer's entry for %s: %s", leaver.id, value)
	}
	time.Sleep(time.Until(ackedAt.Add(leavesAfter)))
	close(ends)
	s.store.put("keyed.servers", leaver.id, nil)
	s.note("%s exits", leaver.id)
	time.Sleep(500 * time.Millisecond)
	over.Store(true)
	clients.Wait()
	late := 0
	leaver.mu.Lock()
	for _, a := range leaver.log {
		if since := a.at.Sub(ackedAt); since > drainBound {
			late++
			s.note("request %s reached %s %s ms after the acknowledgement of its draining", a.id, leaver.id, strconv.FormatInt(since.Milliseconds(), 10))
		}
	}
	leaver.mu.Unlock()
	for _, e := range s.entries {
		signalTo(e.pid, syscall.SIGTERM)
	}
	s.note("%d bookings sent, %d without success; %d reached the leaving server later than %d ms after the acknowledgement, one breaks the rule",
		sent.Load(), lost.Load(), late, drainBound.Milliseconds())
	return late > 0, nil
}
