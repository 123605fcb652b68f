package serverlimit

import (
	"maps"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// forgetMillis is the time since its last statement after which another host is
	// forgotten.
	forgetMillis = 10_000
	// relayMillis is the usual time that a statement of another host took to arrive.
	relayMillis = 50
)

// Statement is what one entry host tells the others of one backend server.
type Statement struct {
	// Server is the ID of the server.
	Server string
	// Sent is the number of requests that the host has sent to the server since
	// CountedSince, by the clock of the host.
	Sent         uint64
	CountedSince boottime.Instant
	// Observed says that the host itself has had an answer of the server. The other fields
	// say what was in it.
	Observed bool
	// Limited says that the answer named the limit PerSecond.
	Limited   bool
	PerSecond float64
	// AgeMillis is the time since the answer arrived.
	AgeMillis int64
	// Unconfirmed says that statements of the host on this server do not come back to it.
	// It is not passed on to other hosts.
	Unconfirmed bool
}

// count returns the requests that the host has counted.
func (s Statement) count() count {
	return count{since: s.CountedSince, requests: s.Sent}
}

// Statements returns what this host tells the others, and drops the limits that ended long
// ago.
func (t *Table) Statements(now boottime.Instant) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Statement
	for id, state := range t.servers {
		if _, limited := t.limit(state, now); !limited && now.MillisSince(state.current.at) > endedMillis {
			delete(t.servers, id)
			continue
		}
		maps.DeleteFunc(state.peers, func(_ uint64, p peer) bool { return now.MillisSince(p.heardAt) > forgetMillis })
		all = append(all, Statement{
			Server:       id,
			Sent:         state.sent.requests,
			CountedSince: state.sent.since,
			Observed:     state.own.at != 0,
			Limited:      state.own.limited,
			PerSecond:    state.own.perSecond,
			AgeMillis:    now.MillisSince(state.own.at),
			Unconfirmed:  now.MillisSince(max(state.confirmedAt, state.sent.since)) > confirmedMillis,
		})
	}
	return all
}

// Apply applies a statement of a host. It reports whether the limit has changed by it.
func (t *Table) Apply(host uint64, s Statement, now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if host == t.Host {
		t.confirm(s, now)
		return false
	}
	state, known := t.servers[s.Server]
	if !known && (!s.Observed || !s.Limited) {
		return false
	}
	if !known {
		state = t.add(s.Server, now)
	}
	t.hear(state, host, s.count(), now)
	// The answer is taken for older than it is, so that an answer to this host counts more
	// than one that another host had at about the same time.
	o := observation{limited: s.Limited, perSecond: s.PerSecond, at: now.AddMillis(-s.AgeMillis - relayMillis)}
	if !s.Observed || !state.current.at.Before(o.at) {
		return false
	}
	return t.adopt(state, o, now)
}

// hear takes the requests that another host has sent since its last statement from the
// bucket. The caller holds the mutex.
func (t *Table) hear(state *serverState, host uint64, sent count, now boottime.Instant) {
	earlier, heard := state.peers[host]
	if heard && sent.before(earlier.sent) {
		return
	}
	t.fill(state, now)
	state.shared = state.shared.withSpent(float64(sent.newSince(earlier.sent)))
	state.peers[host] = peer{sent: sent, heardAt: now}
}

// confirm records that a statement of this host came back. The caller holds the mutex.
func (t *Table) confirm(s Statement, now boottime.Instant) {
	state, known := t.servers[s.Server]
	if !known {
		return
	}
	back := s.count()
	if back.since != state.sent.since || back.before(state.confirmed) {
		return
	}
	state.confirmed = back
	state.confirmedAt = now
}
