package unresponsive

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// thresholdFactor is the factor by which a call must wait longer than the usual time of its
	// service, and floorMillis the least time: servers that are slow for a while keep their
	// requests.
	thresholdFactor = 3
	floorMillis     = 250
	// quorum is the number of other hosts whose word a host takes without a waiting call
	// of its own. One host alone may have lost its path to the server.
	quorum = 2
)

// Cause says why the state of a server has changed.
type Cause string

// Causes of changes.
const (
	// CauseUnanswered means that calls of this host wait for an answer.
	CauseUnanswered Cause = "Unanswered"
	// CauseStated means that other hosts state it.
	CauseStated Cause = "Stated"
	// CauseAnswered means that the server has answered a call of this host, or of another one if
	// only others had stated that it does not.
	CauseAnswered Cause = "Answered"
	// CauseServiceSlow means that no other server of the service answers either.
	CauseServiceSlow Cause = "ServiceSlow"
	// CauseNoCalls means that no unanswered call is left, as the server broke the connections or got no
	// call for forgetMillis.
	CauseNoCalls Cause = "NoCalls"
	// CauseRestarted means that another incarnation of the server is listed.
	CauseRestarted Cause = "Restarted"
	// CauseNotStated means that other hosts do not state it any more.
	CauseNotStated Cause = "NotStated"
)

// Change is a change of the state of a server, with what it was decided by.
type Change struct {
	Server string
	// Unresponsive is the state from now on.
	Unresponsive bool
	Cause        Cause
	// Calls is the number of this host's calls without an answer since the server's last one, open ones
	// and those that timed out. WaitingMillis is the longer of the times for which the open ones wait
	// and the others waited together.
	Calls         int
	WaitingMillis int64
	// QuantileMillis is the usual time of an answer of the service, zero while it is not known;
	// QuantileAgeMillis is the time since the last answer that it follows from.
	QuantileMillis    int64
	QuantileAgeMillis int64
	// Hosts is the number of other hosts that state it.
	Hosts int
}

// refresh decides on a server and reports a change. The caller holds the mutex.
func (t *Table) refresh(s *serverState, now boottime.Instant) {
	cause := t.decideOwn(s, now)
	unresponsive := s.detected
	if !unresponsive && t.accepts(s, now) {
		unresponsive, cause = true, CauseStated
	}
	if unresponsive == s.unresponsive {
		return
	}
	if !unresponsive && cause == "" {
		cause = s.endOfAcceptance(now)
	}
	t.report(s, unresponsive, cause, now)
}

// report records a change. The caller holds the mutex.
func (t *Table) report(s *serverState, unresponsive bool, cause Cause, now boottime.Instant) {
	s.unresponsive, s.cause = unresponsive, cause
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, t.newChange(s, cause, now))
	}
	s.dropStale(now)
	t.notifyChange()
}

func (t *Table) newChange(s *serverState, cause Cause, now boottime.Instant) Change {
	usual, age := t.usual(s.service, now)
	return Change{
		Server:            s.id,
		Unresponsive:      s.unresponsive,
		Cause:             cause,
		Calls:             s.unanswered(),
		WaitingMillis:     s.waitingMillis(now),
		QuantileMillis:    usual,
		QuantileAgeMillis: age,
		Hosts:             s.statingHosts(now),
	}
}

// decideOwn decides whether this host itself finds a server unresponsive, and returns the cause
// of a change. The caller holds the mutex.
func (t *Table) decideOwn(s *serverState, now boottime.Instant) Cause {
	s.forget(now)
	waiting := s.waitingMillis(now)
	switch {
	case s.detected && s.unanswered() == 0:
		t.endOwn(s, now)
		return CauseNoCalls
	case s.detected && !t.othersAnswer(s, now):
		t.endOwn(s, now)
		return CauseServiceSlow
	case s.detected || waiting < floorMillis || !t.tooLong(s, waiting, now) || !t.othersAnswer(s, now):
		return ""
	}
	s.detected, s.beganAt = true, now
	s.probe = probeState{spread: t.newSpread()}
	t.statementsChanged = true
	t.notifyChange()
	return CauseUnanswered
}

// tooLong reports whether calls wait for much longer than usual. The caller holds the mutex.
func (t *Table) tooLong(s *serverState, waitingMillis int64, now boottime.Instant) bool {
	usual, _ := t.usual(s.service, now)
	return usual > 0 && waitingMillis >= t.thresholdMillis(s.service, now)
}

// endOwn ends the state that this host itself has found. The caller holds the mutex.
func (t *Table) endOwn(s *serverState, now boottime.Instant) {
	s.detected = false
	s.endedAt = now
	t.statementsChanged = true
	t.notifyChange()
}

// othersAnswer reports whether another server of the service has answered, in the usual time, a
// call that was sent after the calls that wait at s, and keeps none waiting. The caller holds the
// mutex.
func (t *Table) othersAnswer(s *serverState, now boottime.Instant) bool {
	since := s.waitingSince()
	threshold := t.thresholdMillis(s.service, now)
	for _, other := range t.servers {
		if other != s && other.service == s.service && !other.detected && !other.unresponsive &&
			!other.promptSentAt.Before(since) && other.waitingMillis(now) < threshold {
			return true
		}
	}
	return false
}

// accepts reports whether this host takes the word of others on a server. The caller holds the
// mutex.
func (t *Table) accepts(s *serverState, now boottime.Instant) bool {
	hosts := s.statingHosts(now)
	s.dropStale(now)
	if hosts == 0 || !t.anotherLeft(s) {
		return false
	}
	if hosts >= quorum {
		return true
	}
	usual, _ := t.usual(s.service, now)
	if usual == 0 {
		usual = floorMillis
	}
	return s.open.Len() > 0 && s.waitingMillis(now) > usual
}

// anotherLeft reports whether another server of the service is not unresponsive. The caller holds
// the mutex.
func (t *Table) anotherLeft(s *serverState) bool {
	for _, other := range t.servers {
		if other != s && other.service == s.service && !other.unresponsive {
			return true
		}
	}
	return false
}

// endOfAcceptance returns why this host takes the word of others no longer.
func (s *serverState) endOfAcceptance(now boottime.Instant) Cause {
	for _, p := range s.peers {
		if p.fresh(now) && p.unanswered == 0 {
			return CauseAnswered
		}
	}
	return CauseNotStated
}

// thresholdMillis returns the time from which a call without an answer shows that its server is
// unresponsive. The caller holds the mutex.
func (t *Table) thresholdMillis(service string, now boottime.Instant) int64 {
	usual, _ := t.usual(service, now)
	return max(thresholdFactor*usual, floorMillis)
}

// unanswered returns the number of calls without an answer since the last answer.
func (s *serverState) unanswered() int {
	return s.open.Len() + s.lost
}

// waitingSince returns the time since which the server has answered none of the calls that it
// had; zero if there are none.
func (s *serverState) waitingSince() boottime.Instant {
	first := s.lostSince
	if oldest := s.open.Front(); oldest != nil {
		sentAt := oldest.Value.(*Call).sentAt
		if first == 0 || sentAt.Before(first) {
			first = sentAt
		}
	}
	if first == 0 {
		return 0
	}
	return max(first, s.answeredAt)
}

// waitingMillis returns the longer of the times for which the open calls wait, and for which the
// lost ones waited together.
func (s *serverState) waitingMillis(now boottime.Instant) int64 {
	var millis int64
	if s.lost > 0 {
		millis = s.lostUntil.MillisSince(max(s.lostSince, s.answeredAt))
	}
	if oldest := s.open.Front(); oldest != nil {
		millis = max(millis, now.MillisSince(max(oldest.Value.(*Call).sentAt, s.answeredAt)))
	}
	return millis
}

// forget drops the lost calls of a server that had none for a long time.
func (s *serverState) forget(now boottime.Instant) {
	if s.open.Len() == 0 && now.MillisSince(s.newestSentAt) > forgetMillis {
		s.lost, s.lostSince, s.lostUntil = 0, 0, 0
	}
}
