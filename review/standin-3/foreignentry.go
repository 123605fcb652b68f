package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playForeignEntry lets another writer leave an entry in the list of backend servers that lacks fields, and checks
// that no service runs the requests of another one.
func playForeignEntry(s *site, trouble bool) ([]string, error) {
	for _, r := range []*server{
		{id: "i-desk-1", service: "gym-desk"},
		{id: "i-desk-2", service: "gym-desk"},
		{id: "i-shop-1", service: "gym-shop"},
		{id: "i-shop-2", service: "gym-shop"},
	} {
		r.slots, r.workMillis = 6, 15
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	s.configure(
		newRoute("class-booking", "/book/", "unsafe", "gym-desk", 600, 100, 2),
		newRoute("shop-order", "/order/", "unsafe", "gym-shop", 600, 100, 2),
	)
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	var ids sequence
	until := time.Now().Add(6 * time.Second)
	for _, path := range []string{"/book/", "/order/"} {
		for range 4 {
			callers.Go(func() { s.callUntil(until, path, &ids) })
		}
	}
	if trouble {
		time.Sleep(2 * time.Second)
		shop := s.servers[2]
		s.trace.printf("another writer leaves an entry for %s without version, slots, cold_ms, born and seq", shop.id)
		s.store.put("keyed.servers", shop.id,
			fmt.Appendf(nil, `{"service":"gym-desk","address":%q,"zone":%q,"state":"ready"}`, shop.address, shop.zone))
	}
	callers.Wait()
	return s.requestsOfOtherServices(map[string]string{"/book/": "gym-desk", "/order/": "gym-shop"}), nil
}

// callUntil sends one request after the other over a kept channel.
func (s *site) callUntil(until time.Time, path string, ids *sequence) {
	c := &caller{address: s.entries[0].caller}
	defer c.close()
	for time.Now().Before(until) {
		q := request{id: fmt.Sprintf("r%06d", ids.next()), method: http.MethodPost, path: path + "x", deadlineMillis: 600, body: "one"}
		got := c.send(q)
		s.trace.printf("caller sent %s %s: status %d, signature %q, error %v", q.id, q.path, got.status,
			got.header.Get("Fulmarvalve-Response-Signature"), got.err)
		time.Sleep(120 * time.Millisecond)
	}
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
