package unresponsive

import (
	"container/list"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

// ignoredLateAnswers is the number of late answers in succession after which the time of further
// ones counts. A server that hung answers the few calls that it held; one that is slow goes on to
// answer late.
const ignoredLateAnswers = 3

// Call is a call of this host to a server of a plain service. It ends with one of its methods.
type Call struct {
	table   *Table
	state   *serverState
	element *list.Element
	sentAt  boottime.Instant
}

// Begin records that a call is sent.
func (t *Table) Begin(server discovery.BackendServer, now boottime.Instant) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(server, now)
	c := &Call{table: t, state: s, sentAt: now}
	c.element = s.open.PushBack(c)
	s.newestSentAt = now
	if s.open.Len() == 1 {
		t.notifyChange()
	}
	return c
}

// Answered records that the answer has begun.
func (c *Call) Answered(now boottime.Instant) {
	t, s := c.table, c.state
	t.mu.Lock()
	defer t.mu.Unlock()
	s.open.Remove(c.element)
	took := now.MillisSince(c.sentAt)
	prompt := took < floorMillis || took < t.thresholdMillis(s.service, now)
	s.lateAnswers++
	if prompt {
		s.lateAnswers = 0
		s.promptSentAt = max(s.promptSentAt, c.sentAt)
	}
	if prompt || s.lateAnswers > ignoredLateAnswers {
		t.record(s.service, took, now)
	}
	if s.detected {
		t.endOwn(s, now)
		t.report(s, false, CauseAnswered, now)
	}
	s.answeredAt = now
	s.answeredSentAt = max(s.answeredSentAt, c.sentAt)
	s.lost, s.lostSince, s.lostUntil = 0, 0, 0
}

// Lost records that the call ended without an answer. TimedOut says that the caller waited no
// longer; otherwise the server broke the connection, which a hung server does not.
func (c *Call) Lost(timedOut bool, now boottime.Instant) {
	t, s := c.table, c.state
	t.mu.Lock()
	defer t.mu.Unlock()
	s.open.Remove(c.element)
	if s.detected && s.beganAt.Before(c.sentAt) {
		s.probe.failed++
	}
	usual, _ := t.usual(s.service, now)
	if !timedOut || now.MillisSince(c.sentAt) < max(usual, floorMillis) {
		return
	}
	s.lost++
	if s.lostSince == 0 || c.sentAt.Before(s.lostSince) {
		s.lostSince = c.sentAt
	}
	s.lostUntil = now
}

// Cancel records that the call did not reach the server.
func (c *Call) Cancel() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.open.Remove(c.element)
}
