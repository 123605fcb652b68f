package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// allowedCuts is the number of channels that may be closed without an answer.
const allowedCuts = 3

// playSilentLeavingEngine lets an engine that leaves preempt its streams for a while, with no room at the others,
// and checks that the entry host does not cut them.
func playSilentLeavingEngine(s *site, trouble bool) ([]string, error) {
	const engines, streams, events, pauseMillis = 8, 8, 60, 3200
	for n := range engines {
		r := newEngine(n)
		r.full = n > 0
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	check := newRoute("session-check", "/check/", "streaming", "coach-lm", 20_000, 1800, 2)
	check["resumable"] = true
	s.configure(check)
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	if trouble {
		if err := s.signal("entry-1", syscall.SIGHUP); err != nil {
			return nil, err
		}
	}
	replies := make([]reply, streams)
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			c := &caller{address: s.entries[0].caller}
			defer c.close()
			q := request{id: fmt.Sprintf("s%03d", n), method: http.MethodPost, path: "/check/x", deadlineMillis: 20_000, prompt: 800, output: 4 * events, body: "check"}
			replies[n] = c.send(q)
			got := replies[n]
			s.trace.printf("caller got %s: status %d, %d events, error %v, after %d ms", q.id, got.status, len(got.events()), got.err, got.elapsed.Milliseconds())
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		s.servers[0].drain(12 * time.Second)
		time.Sleep(300 * time.Millisecond)
		s.servers[0].preempt(pauseMillis * time.Millisecond)
	}
	callers.Wait()
	return cutStreams(replies, events), nil
}

// cutStreams returns the streams whose channels were closed before their end, if they are too many.
func cutStreams(replies []reply, events int) []string {
	var cut []string
	for n, got := range replies {
		if got.err != nil && got.status == http.StatusOK {
			cut = append(cut, fmt.Sprintf("LOST: stream %d was cut after %d of %d events, after %d ms", n, len(got.events()), events, got.elapsed.Milliseconds()))
		}
	}
	if len(cut) <= allowedCuts {
		return nil
	}
	return cut
}

// falseEnds returns the streams that are whole by their framing and not by their events.
func falseEnds(replies []reply, events int) []string {
	var broken []string
	for n, got := range replies {
		if got.err == nil && got.status == http.StatusOK && len(got.events()) != events {
			broken = append(broken, fmt.Sprintf("ORDER: stream %d ends as complete after %d of %d events", n, len(got.events()), events))
		}
	}
	return broken
}
