package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the services of a day.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
)

// Routes of a day, as on the sheet of snaga-lm.
const (
	draftPath   = "/stream-draft/2f"
	checkPath   = "/stream-check/2f"
	bookingPath = "/booking/2f"
	checkinPath = "/checkin/2f"
	// Public routes need no key.
	publicBookingPath = "/public-booking/2f"
	publicCheckinPath = "/public-checkin/2f"

	draftTimeout = 39000 * time.Millisecond
	checkTimeout = 6000 * time.Millisecond
	plainTimeout = 600 * time.Millisecond
)

// configuration returns a version of the configuration, spelled as in `fleetbench wire`.
func configuration(version int, draft map[string]any) map[string]any {
	route := func(name, prefix, kind, service string, timeout time.Duration, slo, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "slo_ms": slo,
			"priority": priority, "service": service, "max_attempts": attempts, "public": false, "resumable": false,
		}
	}
	drafts := route("r-draft", "/stream-draft/", "streaming", modelService, draftTimeout, 1800, 1, 1)
	checks := route("r-check", "/stream-check/", "streaming", modelService, checkTimeout, 1500, 0, 2)
	checks["resumable"] = true
	for _, r := range []map[string]any{drafts, checks} {
		r["sticky"], r["gap_aim_ms"] = true, 180
	}
	publicBookings := route("r-public-booking", "/public-booking/", "unsafe", plainService, plainTimeout, 100, 2, 1)
	publicCheckins := route("r-public-checkin", "/public-checkin/", "safe", plainService, plainTimeout, 100, 2, 2)
	publicBookings["public"], publicCheckins["public"] = true, true
	for name, value := range draft {
		drafts[name] = value
		if name == "traffic_split" {
			delete(drafts, "service")
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			drafts, checks,
			route("r-booking", "/booking/", "unsafe", plainService, plainTimeout, 100, 2, 1),
			route("r-checkin", "/checkin/", "safe", plainService, plainTimeout, 100, 2, 2),
			publicBookings, publicCheckins,
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/health", "max_conns": 232, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 24, "kv_capacity": memoryTokens, "kv_token_bytes": 131072, "link_mbps": 19000.0, "moves": true, "backups": true,
					"stride": tokensPerEvent, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []any{apiKey}, "priority": 1}},
	}
}

// begin makes a site with a number of entry hosts, engines and plain replicas, and starts it.
func begin(root string, rec *record, entries, engines, plain int, prepare func(*site)) *site {
	s := newSite(root, rec)
	current = s
	zones := []string{"zg-hall-a", "zg-hall-b", "zg-hall-c"}
	for i := range entries {
		s.addEntry(zones[i%len(zones)], entries)
	}
	for i := range engines {
		s.addServer(modelService, zones[i%len(zones)], 24, true)
	}
	for i := range plain {
		s.addServer(plainService, zones[i%len(zones)], 6, false)
	}
	if prepare != nil {
		prepare(s)
	}
	s.store.putConfig(configuration(7, nil))
	s.start()
	rec.note("traffic begins")
	return s
}

// every calls send in a new goroutine at a mean rate a second until stop is closed.
func every(perSecond float64, stop chan struct{}, group *sync.WaitGroup, send func()) {
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			group.Go(func() {
				send()
			})
		}
	})
}

// stream sends a request for a generation on a new channel.
func (c *clients) stream(to *process, path string, events int, timeout time.Duration) *sent {
	ch, err := open(to)
	if err != nil {
		c.site.rec.note("client: no channel to %s: %v", to.name, err)
		return nil
	}
	defer ch.close()
	s, _ := c.send(ch, http.MethodPost, path, generation(600+rand.IntN(1200), events), make([]byte, 2900), timeout, events)
	return s
}

// runsOf returns the runs of a request at all replicas.
func (s *site) runsOf(id string) []*run {
	var all []*run
	for _, sv := range s.servers {
		sv.mu.Lock()
		for _, r := range sv.runs {
			if r.id == id {
				all = append(all, r)
			}
		}
		sv.mu.Unlock()
	}
	return all
}

// caseSplit: a version of the configuration gives a tenth of a streaming route to a plain service,
// as the example of `fleetbench wire` does. The rule is LOST.
func caseSplit(root string, rec *record, trouble bool) bool {
	const seconds = 40
	s := begin(root, rec, 2, 3, 3, func(s *site) {
		for _, sv := range s.servers {
			sv.workMillis = 80
		}
	})
	defer s.stop()
	c := &clients{site: s}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 30 {
		to := s.entries[i%len(s.entries)]
		method, path, body := http.MethodPost, bookingPath, make([]byte, 600)
		if i%4 == 3 {
			method, path, body = http.MethodGet, checkinPath, nil
		}
		group.Go(func() {
			c.keep(to, method, path, body, 600*time.Millisecond, plainTimeout, stop)
		})
	}
	every(4.2, stop, &group, func() {
		c.stream(s.entries[rand.IntN(len(s.entries))], draftPath, 20+rand.IntN(80), draftTimeout)
	})
	time.Sleep(5 * time.Second)
	if trouble {
		s.store.putConfig(configuration(9, map[string]any{"traffic_split": []any{
			map[string]any{"service": modelService, "weight": 90}, map[string]any{"service": plainService, "weight": 10},
		}}))
		rec.note("the store acknowledges version 9: a tenth of r-draft goes to %s", plainService)
	}
	time.Sleep((seconds - 5) * time.Second)
	close(stop)
	group.Wait()
	// LOST: a request from a kept channel that was passed on to a sound replica and whose channel was
	// closed without an answer, more than three times.
	lost, runs := s.lostCalls(c, nil), 0
	exits, often := 0, 0
	for _, p := range s.entries {
		exits += len(p.exits)
		if len(p.exits) >= 3 {
			often++
		}
	}
	for _, sv := range s.servers {
		if sv.service != plainService {
			continue
		}
		for _, r := range sv.runs {
			if strings.HasPrefix(r.route, "/stream") {
				runs++
			}
		}
	}
	rec.note("%d requests sent; %d streams ran at the plain service; entry processes ended by themselves %d times, %d of %d machines three times or more",
		len(c.all), runs, exits, often, len(s.entries))
	rec.note("LOST: %d requests from kept channels were passed on to a sound replica and closed without an answer; more than 3 break the rule", lost)
	return lost > 3
}

// caseUnframed: one of three engines gives three in a hundred of its answers without a length, and
// leaves; its runs move. The rule is ORDER.
func caseUnframed(root string, rec *record, trouble bool) bool {
	const (
		seconds       = 34
		unframedShare = 0.03
	)
	var from time.Time
	s := begin(root, rec, 1, 3, 1, func(s *site) {
		leaves, unframed := s.servers[0], 0
		leaves.unframed = func(r *run) bool {
			if time.Now().Before(from) || !strings.HasPrefix(r.route, "/stream-draft") || float64(unframed+1) > unframedShare*float64(len(leaves.runs)) {
				return false
			}
			unframed++
			return true
		}
	})
	defer s.stop()
	// Of the answers without a length, those count whose runs last until the engine leaves.
	from = time.Now().Add((seconds - 4) * time.Second)
	c := &clients{site: s}
	stop := make(chan struct{})
	var group sync.WaitGroup
	every(4.2, stop, &group, func() {
		c.stream(s.entries[0], draftPath, 160+rand.IntN(140), draftTimeout)
	})
	every(5.9, stop, &group, func() {
		c.stream(s.entries[0], checkPath, 1+rand.IntN(6), checkTimeout)
	})
	time.Sleep(seconds * time.Second)
	if trouble {
		s.servers[0].drain(2500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	// ORDER: a stream ends as complete before its last piece.
	short, complete, cut := 0, 0, 0
	for _, a := range c.all {
		inOrder := true
		for i, n := range a.events {
			inOrder = inOrder && n == i+1
		}
		switch {
		case a.status != http.StatusOK:
		case !inOrder:
			short++
			rec.note("order: %s has a piece that is missing or comes twice", a.id)
		case a.whole && len(a.events) < a.want:
			short++
			rec.note("order: %s ends as complete after event %d of %d; its runs: %s", a.id, len(a.events), a.want, s.tell(a.id))
		case a.whole:
			complete++
		default:
			cut++
		}
	}
	rec.note("%d streams: %d complete, %d cut with a broken channel", len(c.all), complete, cut)
	rec.note("ORDER: %d streams ended as complete before their last piece; one breaks the rule", short)
	return short > 0
}

func (s *site) tell(id string) string {
	var all []string
	for _, r := range s.runsOf(id) {
		all = append(all, fmt.Sprintf("%s to event %d (%s)", r.server, r.events, r.how))
	}
	return strings.Join(all, ", ")
}

// caseSilence: an engine pauses within a stream while the others are full, and the entry host gets
// SIGTERM meanwhile. The rule is LOST around planned work.
func caseSilence(root string, rec *record, trouble bool) bool {
	const (
		// silent is the pause of the engine, after its second event of four. Clients wait for 6 s
		// (four times the objective of 1,500 ms).
		silent = 3300 * time.Millisecond
		events = 4
		count  = 6
	)
	s := begin(root, rec, 2, 2, 1, nil)
	defer s.stop()
	c := &clients{site: s}
	term := s.entries[0]
	// The streams are placed while both engines have room.
	var group sync.WaitGroup
	for _, sv := range s.servers {
		sv.pause = func(r *run, event int) time.Duration {
			if event == 3 && !r.resumed {
				return silent
			}
			return 0
		}
	}
	for range count {
		group.Go(func() {
			c.stream(term, checkPath, events, checkTimeout)
		})
	}
	time.Sleep(700 * time.Millisecond)
	for _, sv := range s.servers {
		sv.mu.Lock()
		sv.full = sv.engine
		sv.mu.Unlock()
	}
	rec.note("the engines are full from now on and decline what is new")
	if trouble {
		term.signal(syscall.SIGTERM)
	}
	group.Wait()
	lost := 0
	for _, a := range c.all {
		if a.whole || !trouble || a.ended.Before(term.termAt) || a.ended.After(term.termAt.Add((graceSeconds+1)*time.Second)) {
			continue
		}
		ran := s.runsOf(a.id)
		if len(ran) == 0 || a.ended.Sub(a.at) >= a.timeout {
			continue
		}
		lost++
		rec.note("lost: %s, sent before the SIGTERM, cut %d ms after it at event %d of %d; its runs: %s", a.id,
			a.ended.Sub(term.termAt).Milliseconds(), len(a.events), a.want, s.tell(a.id))
	}
	rec.note("LOST: %d of %d streams that had been passed on ended without a complete answer around the planned stop, while their replicas were at work; one breaks the rule", lost, len(c.all))
	return lost > 0
}

// caseUnsigned: one of two engines spoils three in a hundred of its answers: a byte of the name of
// the signature header is wrong. The rule is MIXED.
func caseUnsigned(root string, rec *record, trouble bool) bool {
	const spoiledShare = 0.03
	s := begin(root, rec, 1, 2, 1, func(s *site) {
		if !trouble {
			return
		}
		spoiler, spoiled := s.servers[0], 0
		spoiler.spoils = func(*run) bool {
			if float64(spoiled+1) > spoiledShare*float64(len(spoiler.runs)) {
				return false
			}
			spoiled++
			return true
		}
	})
	defer s.stop()
	c := &clients{site: s}
	stop := make(chan struct{})
	var group sync.WaitGroup
	every(5.9, stop, &group, func() {
		c.stream(s.entries[0], checkPath, 1+rand.IntN(6), checkTimeout)
	})
	time.Sleep(45 * time.Second)
	close(stop)
	group.Wait()
	mixed := 0
	for _, a := range c.all {
		if a.status/100 == 2 && a.signed == "" {
			mixed++
			rec.note("mixed: the client of %s got %d without a signature; its runs: %s", a.id, a.status, s.tell(a.id))
		}
	}
	rec.note("MIXED: %d of %d clients got a success without Fulmarvalve-Response-Signature; one breaks the rule", mixed, len(c.all))
	return mixed > 0
}

// caseRestore: the store comes back from a copy some seconds old. The rule is LOST, for safe and
// unsafe requests without a key.
func caseRestore(root string, rec *record, trouble bool) bool {
	const drills = 5
	s := begin(root, rec, 5, 3, 3, func(s *site) {
		for _, sv := range s.servers {
			sv.workMillis = 100
		}
	})
	defer s.stop()
	c := &clients{site: s}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 33 {
		to := s.entries[i%len(s.entries)]
		method, path, body := http.MethodPost, publicBookingPath, make([]byte, 600)
		if i%4 == 3 {
			method, path, body = http.MethodGet, publicCheckinPath, nil
		}
		group.Go(func() {
			c.keep(to, method, path, body, 500*time.Millisecond, plainTimeout, stop)
		})
	}
	time.Sleep(4 * time.Second)
	for range drills {
		if trouble {
			rec.note("the store is away")
			lost := s.store.restore(150*time.Millisecond, 3*time.Second)
			rec.note("the store is back from a copy 3 s old: era %d, %d records are gone", s.store.era, lost)
			// What the operator and the replicas wrote is written again.
			s.store.putConfig(configuration(7, nil))
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	group.Wait()
	lost := s.lostCalls(c, nil)
	exits := 0
	for _, p := range s.entries {
		exits += len(p.exits)
	}
	rec.note("%d requests sent; entry processes ended by themselves %d times", len(c.all), exits)
	rec.note("LOST: %d requests without a key, from kept channels, were passed on to a sound replica and closed without an answer; more than 3 break the rule", lost)
	return lost > 3
}

// lostCalls counts the requests from kept channels that were passed on to a replica and whose channel
// was closed without any byte of an answer, well before their time limit.
func (s *site) lostCalls(c *clients, only func(*sent) bool) int {
	lost := 0
	for _, a := range c.all {
		if a.status != 0 || a.err == nil || !a.kept || a.ended.Sub(a.at) >= a.timeout || (only != nil && !only(a)) {
			continue
		}
		if ran := s.runsOf(a.id); len(ran) > 0 {
			lost++
			s.rec.note("lost: %s %s to %s, passed on to %s, closed after %d ms", a.id, a.path, a.to.name, ran[0].server, a.ended.Sub(a.at).Milliseconds())
		}
	}
	return lost
}

// caseLost: engines that preempt some of their runs for a while, and two in five of which lose the
// answer of one in forty requests that they ran. The rule is TWICE.
func caseLost(root string, rec *record, trouble bool) bool {
	const (
		seconds = 70
		// preempted is the time for which a preempted run makes no event. Clients wait for 6 s.
		preempted = 2750 * time.Millisecond
		// preemptedShare is the share of the runs that are preempted, after their second event.
		preemptedShare = 0.12
		// lostShare is the share of the requests that a replica ran whose answer is lost.
		lostShare = 0.025
		// overlap is the time after which a replica before must not work on a request any more.
		overlap = 400 * time.Millisecond
	)
	s := begin(root, rec, 1, 5, 1, func(s *site) {
		for i, sv := range s.servers {
			if !sv.engine {
				continue
			}
			sv.eventMillis = 60
			sv.pause = func(r *run, event int) time.Duration {
				if event == 3 && !r.again && rand.Float64() < preemptedShare {
					rec.note("replica %s preempts %s", sv.id, r.id)
					return preempted
				}
				return 0
			}
			if !trouble || i%2 == 0 {
				continue
			}
			lost := 0
			sv.loses = func(r *run) bool {
				if !r.again || float64(lost+1) > lostShare*float64(len(sv.runs)) {
					return false
				}
				lost++
				rec.note("replica %s runs %s and its answer is lost (%d of %d requests that it ran)", sv.id, r.id, lost, len(sv.runs))
				return true
			}
		}
	})
	defer s.stop()
	c := &clients{site: s}
	stop := make(chan struct{})
	var group sync.WaitGroup
	every(8, stop, &group, func() {
		c.stream(s.entries[0], checkPath, 8+rand.IntN(2), checkTimeout)
	})
	time.Sleep(seconds * time.Second)
	close(stop)
	group.Wait()
	twice, resumed := 0, 0
	for _, a := range c.all {
		runs := s.runsOf(a.id)
		if len(runs) > 1 {
			resumed++
		}
		for _, before := range runs {
			for _, after := range runs {
				if before.server != after.server && before.began.Before(after.began) && before.madeAt.Sub(after.began) > overlap {
					twice++
					rec.note("twice: %s goes on at %s at %.3f s, and %s still makes events of it %d ms later", a.id, after.server,
						after.began.Sub(rec.began).Seconds(), before.server, before.madeAt.Sub(after.began).Milliseconds())
				}
			}
		}
	}
	rec.note("%d streams, %d of them went on at another replica", len(c.all), resumed)
	rec.note("TWICE: %d went on at another replica while the replica before still worked on them 400 ms later; one breaks the rule", twice)
	return twice > 0
}
