// Package serverlimit keeps the rate limits that backend servers name in their answers: the
// requests a second that a server accepts from all entry hosts together. Table is the view
// of one entry host. The hosts tell one another how many requests they have sent to each
// server with a limit, so that all of them draw on one token bucket for each server,
// without any of them deciding for the others. A host whose statements do not come back to
// it uses its share of the limit alone. The package does no I/O and reads no clock.
package serverlimit

import (
	"maps"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// endedMillis is the time for which a host states that a limit has ended.
	endedMillis = 3000
	// unlistedMillis is the time since its last answer after which a server that is not
	// listed any more is dropped.
	unlistedMillis = 10_000
	// coldUse is the part of ColdPerSecond that the hosts use. When hosts are cut off from one another,
	// each of them may send one request more before it notices, so the whole would be exceeded.
	coldUse = 0.75
)

// Answer is what the answer of a backend server says of its limit.
type Answer struct {
	// Limited says that the answer names a limit.
	Limited bool
	// PerSecond is the limit; zero if none is named.
	PerSecond float64
	// RequestSentAt is the time at which the answered request was sent.
	RequestSentAt boottime.Instant
	ReceivedAt    boottime.Instant
}

// Table holds the limits as one entry host knows them. Its exported fields are set before
// use. It is safe for concurrent use.
type Table struct {
	// Host identifies the process of this entry host among all hosts. It is random.
	Host uint64
	// Hosts returns the number of entry hosts.
	Hosts func() int
	// ColdPerSecond is the limit of a server that has just started and is not warm yet, in
	// requests a second; zero means none.
	ColdPerSecond float64
	// OnChange is called when the other hosts should be told of a change. It must not
	// block and must not call the table.
	OnChange func()

	mu sync.Mutex
	// servers holds the servers with a limit, and those whose limit has just ended, by ID.
	servers map[string]*serverState
}

// serverState is the state of one backend server.
type serverState struct {
	// own is the newest observation of this host. Its time is zero before the first one.
	own observation
	// current is the newest observation of any host; it decides whether the server has a
	// limit.
	current observation
	// warmAt is the time until which ColdPerSecond is a limit of the server, too; zero if it
	// was never cold.
	warmAt boottime.Instant
	// shared holds the tokens of all hosts together, and share those of this host alone.
	shared bucket
	share  bucket
	// sent counts the requests of this host to the server, and confirmed is the newest
	// count that came back.
	sent      count
	confirmed count
	// unsent is the number of requests in sent that were not sent after all.
	unsent uint64
	// peers holds what the other hosts have stated, by host.
	peers map[uint64]peer
	// confirmedAt is the time at which a statement of this host last came back.
	confirmedAt boottime.Instant
}

// observation is what an answer said of a server's limit.
type observation struct {
	limited   bool
	perSecond float64
	at        boottime.Instant
}

// Observe records an answer of a server. It reports whether the limit has changed.
func (t *Table) Observe(server string, answer Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.servers[server]
	if !known && !answer.Limited {
		return false
	}
	if !known {
		state = t.add(server, answer.ReceivedAt)
	}
	if !answer.Limited && answer.RequestSentAt.Before(state.current.at) {
		return false
	}
	state.own = observation{limited: answer.Limited, perSecond: answer.PerSecond, at: answer.ReceivedAt}
	return t.adopt(state, state.own, answer.ReceivedAt)
}

// add adds a server without any observation. Its bucket is empty, as other hosts may have
// spent the limit. The caller holds the mutex.
func (t *Table) add(server string, now boottime.Instant) *serverState {
	if t.servers == nil {
		t.servers = make(map[string]*serverState)
	}
	state := &serverState{
		shared:    bucket{filledAt: now},
		share:     bucket{filledAt: now},
		sent:      count{since: now},
		confirmed: count{since: now},
		peers:     make(map[uint64]peer),
	}
	t.servers[server] = state
	return state
}

// adopt makes an observation the current one of its server and reports whether the limit
// has changed. The caller holds the mutex.
func (t *Table) adopt(state *serverState, o observation, now boottime.Instant) bool {
	t.fill(state, now)
	changed := state.current.limited != o.limited || state.current.perSecond != o.perSecond
	state.current = o
	if changed {
		t.notify()
	}
	return changed
}

// SetCold makes ColdPerSecond a limit of a server until warmAt.
func (t *Table) SetCold(server string, warmAt, now boottime.Instant) {
	if t.ColdPerSecond <= 0 || !now.Before(warmAt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.servers[server]
	if !known {
		state = t.add(server, now)
	}
	if state.warmAt == warmAt {
		return
	}
	t.fill(state, now)
	state.warmAt = warmAt
	t.notify()
}

// limit returns the limit of a server, and whether it has one. The caller holds the mutex.
func (t *Table) limit(state *serverState, now boottime.Instant) (perSecond float64, limited bool) {
	cold := now.Before(state.warmAt)
	switch {
	case cold && state.current.limited:
		return min(coldUse*t.ColdPerSecond, state.current.perSecond), true
	case cold:
		return coldUse * t.ColdPerSecond, true
	default:
		return state.current.perSecond, state.current.limited
	}
}

// NamesLimit reports whether the server itself has named a limit; ColdPerSecond does not count.
func (t *Table) NamesLimit(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.servers[server]
	return known && state.current.limited
}

// Held returns the servers that accept no request now, with the times from which they do.
// It returns nil when there is none.
func (t *Table) Held(now boottime.Instant) map[string]boottime.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held map[string]boottime.Instant
	for id, state := range t.servers {
		if _, limited := t.limit(state, now); !limited {
			continue
		}
		until := t.nextAt(state, now)
		if until <= now {
			continue
		}
		if held == nil {
			held = make(map[string]boottime.Instant)
		}
		held[id] = until
	}
	return held
}

// Spend counts a request that is about to be sent to a server.
func (t *Table) Spend(server string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.servers[server]
	if !known {
		return
	}
	if _, limited := t.limit(state, now); !limited {
		return
	}
	t.fill(state, now)
	state.spend(1)
	if state.unsent > 0 {
		state.unsent--
		return
	}
	state.sent.requests++
	t.notify()
}

// Return takes back a request that was counted and not sent. The other hosts have counted
// it, so the next request takes its place.
func (t *Table) Return(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known := t.servers[server]
	if !known || state.sent.requests == state.unsent {
		return
	}
	state.spend(-1)
	state.unsent++
}

// spend takes tokens for requests of this host.
func (s *serverState) spend(tokens float64) {
	s.shared = s.shared.withSpent(tokens)
	s.share = s.share.withSpent(tokens)
}

// Prune drops the servers that are not listed and have not answered for some time.
func (t *Table) Prune(listed func(server string) bool, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(id string, state *serverState) bool {
		return now.MillisSince(state.current.at) > unlistedMillis && !listed(id)
	})
}

func (t *Table) notify() {
	if t.OnChange != nil {
		t.OnChange()
	}
}
