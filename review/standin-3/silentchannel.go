package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// overlapMillis is the time for which the server before may still work on a request that goes on at another one.
const overlapMillis = 400

// playSilentChannel lets the open channels to an engine go silent for good. The other engines are full, and a further one
// joins a moment later. It checks that no request goes on there while the first engine still works on it.
func playSilentChannel(s *site, trouble bool) ([]string, error) {
	const engines, streams, events, joinMillis = 4, 4, 400, 3500
	for n := range engines + 1 {
		r := newEngine(n)
		r.behindProxy, r.full, r.hidden = true, n > 0 && n < engines, n == engines
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	check := newRoute("session-check", "/check/", "streaming", "coach-lm", 39_000, 1800, 2)
	check["resumable"] = true
	s.configure(check)
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	replies := make([]reply, streams)
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			c := &caller{address: s.entries[0].caller}
			defer c.close()
			q := request{id: fmt.Sprintf("s%03d", n), method: http.MethodPost, path: "/check/x", deadlineMillis: 39_000, prompt: 800, output: 4 * events, body: "check"}
			replies[n] = c.send(q)
			got := replies[n]
			s.trace.printf("caller got %s: status %d, %d of %d events, error %v, after %d ms", q.id, got.status, len(got.events()), events, got.err, got.elapsed.Milliseconds())
		})
	}
	time.Sleep(1000 * time.Millisecond)
	if trouble {
		s.trace.printf("the open channels to %s go silent, new ones work", s.servers[0].id)
		s.servers[0].path.silence()
	}
	time.Sleep(joinMillis * time.Millisecond)
	s.servers[engines].join()
	callers.Wait()
	time.Sleep(overlapMillis * time.Millisecond)
	return s.overlaps(), nil
}

// overlaps returns the requests on which a server still worked when they had gone on at another one.
func (s *site) overlaps() []string {
	var broken []string
	for _, before := range s.servers {
		for _, a := range before.arrived() {
			for _, after := range s.servers {
				for _, b := range after.arrived() {
					if before == after || a.id != b.id || !a.ran || !b.ran || !a.at.Before(b.at) {
						continue
					}
					if worked := a.ended.Sub(b.at); a.ended.IsZero() || worked > overlapMillis*time.Millisecond {
						broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s, and %s still worked on it %d ms later", a.id, after.id, before.id, worked.Milliseconds()))
					}
				}
			}
		}
	}
	return broken
}
