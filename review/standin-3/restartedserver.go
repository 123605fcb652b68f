package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRestartedServer cuts the path to a server for a while, in which the server crashes in the middle of streams
// without a length or chunks and starts again under its ID. It checks that no stream ends as complete before its last
// event.
func playRestartedServer(s *site, trouble bool) ([]string, error) {
	const engines, streams, events, cutMillis, downMillis = 5, 10, 60, 3000, 1000
	for n := range engines {
		r := newEngine(n)
		r.behindProxy, r.unframed = true, true
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	s.configure(newRoute("program-draft", "/draft/", "streaming", "coach-lm", 39_000, 1800, 1))
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	replies := make([]reply, streams)
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			c := &caller{address: s.entries[0].caller}
			defer c.close()
			q := request{id: fmt.Sprintf("d%03d", n), method: http.MethodPost, path: "/draft/x", deadlineMillis: 39_000, prompt: 800, output: 4 * events, body: "draft"}
			replies[n] = c.send(q)
			got := replies[n]
			s.trace.printf("caller got %s: status %d, %d of %d events, error %v, after %d ms", q.id, got.status, len(got.events()), events, got.err, got.elapsed.Milliseconds())
		})
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		_, crashed := s.busiest()
		s.trace.printf("the path to %s is silent for %d ms", crashed.id, cutMillis)
		crashed.path.hold()
		healsAt := time.Now().Add(cutMillis * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		if err := crashed.crash(&s.group, downMillis*time.Millisecond); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(healsAt))
		crashed.path.release()
		s.trace.printf("the path to %s is back", crashed.id)
	}
	callers.Wait()
	return falseEnds(replies, events), nil
}
