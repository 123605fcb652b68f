package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playReusedAddress moves the runs of an engine that leaves to one that crashes for good, and whose address then goes to
// a server of another service, while the open channels to the first engine have gone silent. It checks that no service
// runs the requests of another one.
func playReusedAddress(s *site, trouble bool) ([]string, error) {
	const engines, streams, events, reuseMillis = 8, 3, 400, 2000
	shared := newCopies()
	for n := range engines {
		r := newEngine(n)
		r.copies, r.behindProxy, r.full = shared, n == 0, n > 0
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	if err := s.addServer(&server{id: "i-desk-01", service: "gym-desk", slots: 6, workMillis: 15}); err != nil {
		return nil, err
	}
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	check := newRoute("session-check", "/check/", "streaming", "coach-lm", 39_000, 1800, 2)
	check["resumable"] = true
	s.configure(check, newRoute("class-booking", "/book/", "unsafe", "gym-desk", 600, 100, 2))
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	source, destination := s.servers[0], s.servers[1]
	firstOrder, lastStop := make(chan struct{}), make(chan struct{}, streams)
	var once sync.Once
	source.onOrder = func(last bool) {
		once.Do(func() {
			if trouble {
				s.trace.printf("the open channels to %s go silent, new ones work", source.id)
				source.path.silence()
			}
			close(firstOrder)
		})
		if last {
			lastStop <- struct{}{}
		}
	}
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			c := &caller{address: s.entries[0].caller}
			defer c.close()
			q := request{id: fmt.Sprintf("s%03d", n), method: http.MethodPost, path: "/check/x", deadlineMillis: 39_000, prompt: 800, output: 4 * events, body: "check"}
			got := c.send(q)
			s.trace.printf("caller got %s: status %d, %d of %d events, error %v, after %d ms", q.id, got.status, len(got.events()), events, got.err, got.elapsed.Milliseconds())
		})
	}
	time.Sleep(500 * time.Millisecond)
	destination.setFull(false)
	time.Sleep(1300 * time.Millisecond)
	source.drain(4 * time.Second)
	for range streams {
		select {
		case <-lastStop:
		case <-time.After(8 * time.Second):
			return nil, errors.New("the runs were not moved")
		}
	}
	time.Sleep(2 * copyMillis * time.Millisecond)
	if trouble {
		destination.end()
		time.Sleep(reuseMillis * time.Millisecond)
		next := &server{id: "i-app-07", service: "gym-desk", slots: 6, workMillis: 15, trace: s.trace, store: s.store, zone: destination.zone}
		if err := next.serve(&s.group, destination.address); err != nil {
			return nil, err
		}
		s.servers = append(s.servers, next)
		s.trace.printf("server %s of %s has the address of %s", next.id, next.service, destination.id)
	}
	callers.Wait()
	return s.requestsOfOtherServices(map[string]string{"/check/": "coach-lm", "/book/": "gym-desk"}), nil
}

// requestsOfOtherServices returns the requests that a service has run to which the configuration does not send them.
func (s *site) requestsOfOtherServices(services map[string]string) []string {
	var broken []string
	for _, r := range s.servers {
		for _, a := range r.arrived() {
			for path, service := range services {
				if a.ran && strings.HasPrefix(a.target, path) && service != r.service {
					broken = append(broken, fmt.Sprintf("ROUTE: %s of service %s has run %s %s, which goes to %s", r.id, r.service, a.id, a.target, service))
				}
			}
		}
	}
	return broken
}
