package unresponsive

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// StaleMillis is the age at which a statement is dropped unless it was renewed.
	StaleMillis = 2000
	// MaxStatements bounds the statements of one host.
	MaxStatements = 16
	// maxPeers bounds the hosts whose statements on one server are kept.
	maxPeers = 512
	// maxWaitingMillis is the longest time that is stated.
	maxWaitingMillis = 600_000
	// slackMillis is the most by which times of other hosts are taken to be wrong, because of
	// the way of their statements.
	slackMillis = 60
)

// Statement is what one entry host tells the others of one server.
type Statement struct {
	// Server is the ID of the server, and BornUnixMillis the start of its incarnation.
	Server         string
	BornUnixMillis int64
	// Unanswered is the number of calls without an answer; zero if the server answers the host.
	Unanswered int
	// WaitingMillis is the time since which the server has answered none of them.
	WaitingMillis int64
	// AnsweredSentMillis is the time since the newest answered call was sent; zero if there is
	// none.
	AnsweredSentMillis int64
	// SentMillis is the time since the host sent its newest call; zero if there is none.
	SentMillis int64
}

// peerStatement is what another host states of a server. It is immutable.
type peerStatement struct {
	bornUnixMillis int64
	// unanswered is zero if the server answers the host.
	unanswered int
	// waitingSince is the time since which the host's calls wait.
	waitingSince boottime.Instant
	// answeredSentAt is the time at which the newest answered call was sent; zero for none.
	answeredSentAt boottime.Instant
	// sentAt is the time at which the host sent its newest call; zero for none.
	sentAt boottime.Instant
	// statedAt is the time at which the host made the statement.
	statedAt boottime.Instant
}

// fresh reports whether the statement was made lately.
func (p peerStatement) fresh(now boottime.Instant) bool {
	return now.MillisSince(p.statedAt) <= StaleMillis
}

// Statements returns what this host tells the others: the servers that it has itself found
// unresponsive, those that were so until lately, and those that answer it although others state
// that they are.
func (t *Table) Statements(now boottime.Instant) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found, answering []Statement
	for _, s := range t.servers {
		switch {
		case s.detected:
			found = append(found, s.statement(now))
		case s.hasStatement(now):
			answering = append(answering, s.statement(now))
		}
	}
	byServer := func(a, b Statement) int { return cmp.Compare(a.Server, b.Server) }
	slices.SortFunc(found, byServer)
	slices.SortFunc(answering, byServer)
	all := slices.Concat(found, answering)
	return all[:min(len(all), MaxStatements)]
}

// hasStatement reports whether this host states something of the server.
func (s *serverState) hasStatement(now boottime.Instant) bool {
	if s.detected || (s.endedAt != 0 && now.MillisSince(s.endedAt) <= StaleMillis) {
		return true
	}
	for _, p := range s.peers {
		if s.contradicts(p, now) {
			return true
		}
	}
	return false
}

// contradicts reports whether the server has answered a call of this host that is newer than
// those for which another host waits.
func (s *serverState) contradicts(p peerStatement, now boottime.Instant) bool {
	return p.fresh(now) && p.unanswered > 0 && p.bornUnixMillis == s.bornUnixMillis &&
		p.waitingSince.AddMillis(slackMillis).Before(s.answeredSentAt)
}

func (s *serverState) statement(now boottime.Instant) Statement {
	statement := Statement{Server: s.id, BornUnixMillis: s.bornUnixMillis}
	if s.detected {
		statement.Unanswered = max(s.unanswered(), 1)
		statement.WaitingMillis = stated(now.MillisSince(s.waitingSince()))
	}
	if s.answeredSentAt != 0 {
		statement.AnsweredSentMillis = stated(now.MillisSince(s.answeredSentAt))
	}
	if s.newestSentAt != 0 {
		statement.SentMillis = stated(now.MillisSince(s.newestSentAt))
	}
	return statement
}

// stated returns a time as it is stated: zero would say that there is none.
func stated(millis int64) int64 {
	return min(max(millis, 1), maxWaitingMillis)
}

// valid reports whether a statement can be true.
func (s Statement) valid() bool {
	possible := func(millis int64) bool { return millis >= 0 && millis <= maxWaitingMillis }
	return s.Server != "" && s.Unanswered >= 0 && (s.Unanswered == 0 || s.WaitingMillis > 0) &&
		possible(s.WaitingMillis) && possible(s.AnsweredSentMillis) && possible(s.SentMillis)
}

// Apply applies a statement that a host made ageMillis ago. Statements of this host, old ones and
// those that cannot be true are ignored.
func (t *Table) Apply(host uint64, statement Statement, ageMillis int64, now boottime.Instant) {
	if host == t.Host || ageMillis < 0 || ageMillis > StaleMillis || !statement.valid() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.servers[statement.Server]
	if !known {
		if len(t.servers) >= maxServers {
			return
		}
		s = t.add(statement.Server)
	}
	statedAt := now.AddMillis(-ageMillis)
	earlier, heard := s.peers[host]
	if (!heard && len(s.peers) >= maxPeers) || (heard && statedAt.Before(earlier.statedAt)) {
		return
	}
	p := peerStatement{
		bornUnixMillis: statement.BornUnixMillis,
		unanswered:     statement.Unanswered,
		waitingSince:   statedAt.AddMillis(-statement.WaitingMillis),
		statedAt:       statedAt,
	}
	if statement.AnsweredSentMillis > 0 {
		p.answeredSentAt = statedAt.AddMillis(-statement.AnsweredSentMillis)
	}
	if statement.SentMillis > 0 {
		p.sentAt = statedAt.AddMillis(-statement.SentMillis)
	}
	s.peers[host] = p
	if !s.contradicts(earlier, now) && s.contradicts(p, now) {
		t.statementsChanged = true
		t.notifyChange()
	}
	if s.service != "" {
		t.refresh(s, now)
	}
}

// statingHosts returns the number of other hosts that state that the server is unresponsive. A server
// that has answered a newer call of any host works: the hosts that state otherwise have lost their path
// to it.
func (s *serverState) statingHosts(now boottime.Instant) int {
	// The server may have hung just after an answer to this host.
	elsewhere, _ := s.newestElsewhere()
	answered := max(s.answeredSentAt, elsewhere, s.answeredAt.AddMillis(-floorMillis))
	hosts := 0
	for _, p := range s.peers {
		if p.fresh(now) && p.unanswered > 0 && p.bornUnixMillis == s.bornUnixMillis &&
			!p.waitingSince.AddMillis(slackMillis).Before(answered) {
			hosts++
		}
	}
	return hosts
}

// dropStale forgets the statements of hosts that have not stated anything lately.
func (s *serverState) dropStale(now boottime.Instant) {
	maps.DeleteFunc(s.peers, func(_ uint64, p peerStatement) bool { return !p.fresh(now) })
}

// newestElsewhere returns the times at which the newest call of the other hosts was sent that the
// server has answered, and the newest of all; zero if none is known.
func (s *serverState) newestElsewhere() (answered, sent boottime.Instant) {
	for _, p := range s.peers {
		if p.bornUnixMillis == s.bornUnixMillis {
			answered, sent = max(answered, p.answeredSentAt), max(sent, p.sentAt)
		}
	}
	return answered, sent
}
