// Package unresponsive finds servers of plain services that keep calls without an answer while
// their health check passes, when the other servers of the service answer. Table is the view of
// one entry host. Each host sends few calls to a server, so the hosts tell one another of such
// servers: a host takes the word of two others, or of one if a call of its own waits. What a host
// states is what it has seen itself. The package does no I/O and reads no clock.
package unresponsive

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

const (
	// forgetMillis is the time since the newest call after which unanswered calls say nothing
	// any more of a server.
	forgetMillis = 30_000
	// maxServers bounds the servers that are known only from other hosts.
	maxServers = 256
	// maxChanges bounds the changes that wait to be taken.
	maxChanges = 64
)

// Table holds the state of the servers as one entry host knows it. Its exported fields are set
// before use. It is safe for concurrent use.
type Table struct {
	// Host identifies the process of this entry host among all hosts. It is random.
	Host uint64
	// OnChange is called when Refresh should be called. It must not block and must not call the
	// table. It may be nil.
	OnChange func()

	mu sync.Mutex
	// servers holds the servers that had calls of this host or statements of others, by ID.
	servers map[string]*serverState
	// services holds the answer times of services by name.
	services map[string]*answerTimes
	// changes holds the changes that were not taken yet.
	changes []Change
	// random spreads what several hosts would do at the same time. It is nil before the first use.
	random *rand.Rand
	// statementsChanged says that what this host states has changed.
	statementsChanged bool
}

// serverState is the state of one incarnation of a server. Its methods are called with the
// mutex of the table.
type serverState struct {
	id             string
	bornUnixMillis int64
	// service is empty while the server is known only from other hosts.
	service string
	// open holds the calls without an answer, as *Call in the order of their sending.
	open list.List
	// lost is the number of calls that ended without an answer since the last answer, lostSince
	// the time at which the first of them was sent, and lostUntil the time at which the last one
	// ended.
	lost                 int
	lostSince, lostUntil boottime.Instant
	// answeredAt is the time of the last answer. answeredSentAt is the time at which the newest
	// answered call was sent, and promptSentAt the same for answers in the usual time.
	answeredAt, answeredSentAt, promptSentAt boottime.Instant
	// lateAnswers is the number of answers in succession that were not in the usual time.
	lateAnswers int
	// newestSentAt is the time of the newest call or of the newest permission to probe.
	newestSentAt boottime.Instant
	// detected says that this host itself has found the server unresponsive, beganAt since when, and
	// endedAt when it last ceased to.
	detected         bool
	beganAt, endedAt boottime.Instant
	// probe holds what the pauses between probes depend on.
	probe probeState
	// unresponsive is the verdict that the newest change has reported, and cause its cause.
	unresponsive bool
	cause        Cause
	// peers holds what other hosts state, by host.
	peers map[uint64]peerStatement
}

// Status says what may be sent to a server.
type Status struct {
	// Unresponsive says that requests go to other servers if there are any.
	Unresponsive bool
	// ProbeUntil is the time by which an answer is expected if the next request should be sent to
	// the server although it is unresponsive; otherwise zero.
	ProbeUntil boottime.Instant
}

// Status returns the state of a server. Repeatable says that the request may be sent again if
// the server does not answer it.
func (t *Table) Status(server discovery.BackendServer, repeatable bool, now boottime.Instant) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(server, now)
	t.refresh(s, now)
	status := Status{Unresponsive: s.unresponsive}
	if s.detected && s.probeDue(repeatable, now) {
		status.ProbeUntil = now.AddMillis(t.thresholdMillis(s.service, now))
	}
	return status
}

// Refresh decides anew on all servers. Active says that it must be called again soon, and
// statementsChanged says that what this host states has changed since the last call.
func (t *Table) Refresh(now boottime.Instant) (changes []Change, active, statementsChanged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		if s.service == "" {
			t.forgetUnknown(id, s, now)
			continue
		}
		t.refresh(s, now)
		active = active || s.open.Len() > 0 || s.detected || s.unresponsive || s.hasStatement(now)
	}
	changes, statementsChanged = t.changes, t.statementsChanged
	t.changes, t.statementsChanged = nil, false
	return changes, active, statementsChanged
}

// forgetUnknown forgets a server that is known only from other hosts when they state nothing of it
// any more. The caller holds the mutex.
func (t *Table) forgetUnknown(id string, s *serverState, now boottime.Instant) {
	if s.dropStale(now); len(s.peers) == 0 {
		delete(t.servers, id)
	}
}

// List returns the unresponsive servers with their present figures, and with the cause of the change that
// reported each of them.
func (t *Table) List(now boottime.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Change
	for _, s := range t.servers {
		if s.unresponsive {
			all = append(all, t.newChange(s, s.cause, now))
		}
	}
	return all
}

// Prune forgets the servers that are not listed any more and have no open call, and the answer times of
// services without a server.
func (t *Table) Prune(listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(id string, s *serverState) bool { return !listed(id) && s.open.Len() == 0 })
	left := make(map[string]bool)
	for _, s := range t.servers {
		left[s.service] = true
	}
	maps.DeleteFunc(t.services, func(service string, _ *answerTimes) bool { return !left[service] })
}

// server returns the state of the incarnation of a server that the discovery list names, and
// creates it if there is none. The caller holds the mutex.
func (t *Table) server(server discovery.BackendServer, now boottime.Instant) *serverState {
	s, known := t.servers[server.ID]
	switch {
	case !known:
		s = t.add(server.ID)
	case s.service != "" && s.bornUnixMillis != server.BornUnixMillis:
		if s.unresponsive {
			t.report(s, false, CauseRestarted, now)
		}
		// Calls to the old incarnation may still be answered.
		s.detected = false
		peers := s.peers
		s = t.add(server.ID)
		s.peers = peers
	}
	s.bornUnixMillis = server.BornUnixMillis
	s.service = server.Service
	return s
}

func (t *Table) add(id string) *serverState {
	if t.servers == nil {
		t.servers = make(map[string]*serverState)
	}
	s := &serverState{id: id, peers: make(map[uint64]peerStatement)}
	t.servers[id] = s
	return s
}

// notifyChange calls OnChange.
func (t *Table) notifyChange() {
	if t.OnChange != nil {
		t.OnChange()
	}
}
