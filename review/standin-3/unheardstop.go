package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// playUnheardStop partitions an entry host from the store and from all other processes of the system for a while, in
// which two engines leave and their runs are moved. It checks that no stream without a length or chunks ends as complete
// before its last event.
func playUnheardStop(s *site, trouble bool) ([]string, error) {
	const engines, streams, events, noticeMillis, cutMillis = 12, 30, 100, 2000, 5000
	shared := newCopies()
	for n := range engines {
		r := newEngine(n)
		r.unframed, r.copies = true, shared
		if err := s.addServer(r); err != nil {
			return nil, err
		}
	}
	proxies, err := s.addEntryBehindProxies()
	if err != nil {
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
			c := &caller{address: s.entries[1].caller}
			defer c.close()
			q := request{id: fmt.Sprintf("d%03d", n), method: http.MethodPost, path: "/draft/x", deadlineMillis: 39_000, prompt: 800, output: 4 * events, body: "draft"}
			replies[n] = c.send(q)
			got := replies[n]
			s.trace.printf("caller got %s: status %d, %d of %d events, error %v, after %d ms", q.id, got.status, len(got.events()), events, got.err, got.elapsed.Milliseconds())
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.trace.printf("entry-2 is partitioned from the store and from all other processes of the system")
		for _, p := range proxies {
			p.hold()
		}
		healsAt := time.Now().Add(cutMillis * time.Millisecond)
		time.Sleep(time.Second)
		first, second := s.busiest()
		first.drain(noticeMillis * time.Millisecond)
		second.drain(noticeMillis * time.Millisecond)
		time.Sleep(time.Until(healsAt))
		for _, p := range proxies {
			p.release()
		}
		s.trace.printf("the paths of entry-2 are back")
	}
	callers.Wait()
	return falseEnds(replies, events), nil
}

// busiest returns the two servers with the most runs; the busier one is the second.
func (s *site) busiest() (first, second *server) {
	ordered := slices.SortedFunc(slices.Values(s.servers), func(a, b *server) int { return b.running() - a.running() })
	return ordered[1], ordered[0]
}

// addEntryBehindProxies adds two entry hosts. The second one reaches the store and the other processes through proxies.
func (s *site) addEntryBehindProxies() ([]*proxy, error) {
	if err := s.addEntry(); err != nil {
		return nil, err
	}
	store, err := startProxy(&s.group, freeAddress("127.0.0.1"), s.storeAt)
	if err != nil {
		return nil, err
	}
	reader, err := startProxy(&s.group, freeAddress("127.0.0.1"), s.entries[0].control)
	if err != nil {
		return nil, err
	}
	proxies := []*proxy{store, reader}
	port := freePort("127.0.0.1")
	for _, r := range s.servers {
		ip, _, err := net.SplitHostPort(r.address)
		if err != nil {
			return nil, err
		}
		path, err := startProxy(&s.group, net.JoinHostPort(ip, strconv.Itoa(port)), net.JoinHostPort(ip, strconv.Itoa(s.peerPort)))
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, path)
	}
	return proxies, s.addEntryVia(paths{store: store.listener.Addr().String(), reader: reader.listener.Addr().String(), peerPort: port})
}
