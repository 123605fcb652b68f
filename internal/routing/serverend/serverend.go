// Package serverend finds out under which requests a backend server ended when no closed port
// shows that it has: it is back within a round trip, or its host went dark. Watch holds the
// requests without an answer at each server, and those that were lost there lately; once the
// list of servers says that the server has ended without notice, it may be because of them. It
// also holds the requests that were answered a moment ago: an answer proves nothing while its
// server may still end because of the request. The package does no I/O and reads no clock.
package serverend

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
)

const (
	// keepMillis is the time for which a lost request, and the end of a server, are remembered.
	// The entry of a server that has gone dark lapses within that time.
	keepMillis = 10_000
	// silentMillis is the time without an answer from which a request counts as lost when its
	// server ends. A server that leaves without notice goes on answering.
	silentMillis = 500
	// pruneMillis is the time between two searches for what is to be forgotten.
	pruneMillis = 1000
	// settleMillis is the time from an answer until its server, if it is still up, did not end because
	// of the request. It is far below the time over which crashes must be spread to count against
	// what is in use, so that answers go on clearing that while servers end for other reasons.
	settleMillis = 300
	// confirmMillis is the further time for which a later answer of the server may show that it is up.
	// After that it has to be checked. A check costs a connection, so relaxedConfirmMillis takes its place
	// while no server has ended under requests lately and nothing speaks against the request.
	confirmMillis        = 100
	relaxedConfirmMillis = 1500
	// recentCrashMillis is the time for which the end of a server under requests is recent.
	recentCrashMillis = 30_000
	// lateMillis is the time from then on after which an end that is found is no evidence on an
	// answer: this process was paused, and the server may have ended long after it.
	lateMillis = 2000
	// maxCalls bounds the requests that are remembered.
	maxCalls = 4096
)

// Incarnation identifies one incarnation of a server. One that comes back under its earlier ID is
// another server: that it is up, or ends, says nothing of the requests of the earlier one.
type Incarnation struct {
	ID             string
	BornUnixMillis int64
}

// IncarnationOf returns the incarnation that an entry of the list of servers names.
func IncarnationOf(server discovery.BackendServer) Incarnation {
	return Incarnation{ID: server.ID, BornUnixMillis: server.BornUnixMillis}
}

// Watch holds the requests without an answer. Its zero value is ready to use. It is safe for
// concurrent use.
type Watch struct {
	mu sync.Mutex
	// calls holds the requests by their server.
	calls map[Incarnation]map[*Call]bool
	// count is the number of requests in calls.
	count int
	// endedAt holds the servers that ended without notice lately, and when that was known.
	endedAt map[Incarnation]boottime.Instant
	// lastUpAt holds when a server with requests in calls was last known to be up, if it was.
	lastUpAt map[Incarnation]boottime.Instant
	// recentCrashUntil is the time until which the last end of a server under requests is recent.
	recentCrashUntil boottime.Instant
	// pruneAt is the time from which old entries are forgotten.
	pruneAt boottime.Instant
}

// Call is a request at a server, from its beginning until its server has stayed up after its
// answer. A nil Call stands for one that is not watched.
type Call struct {
	watch  *Watch
	server Incarnation
	loss   quarantine.Loss
	sentAt boottime.Instant
	// lostAt is the time at which the request was lost; zero while it waits for its answer, or for
	// its server to stay up after it.
	lostAt boottime.Instant
	// confirmedFrom is the time from which a sign that the server is up confirms the answer; zero before
	// the answer.
	confirmedFrom boottime.Instant
	// answer is what then is cleared.
	answer quarantine.Answer
}

// unsettled reports whether the request was answered and nothing shows yet whether its server
// stayed up.
func (c *Call) unsettled() bool { return c.confirmedFrom != 0 && c.lostAt == 0 }

// lossAfterAnswer returns the request as one whose server ended shortly after its answer.
func (c *Call) lossAfterAnswer() quarantine.Loss {
	loss := c.loss
	loss.Answered = true
	return loss
}

// Open watches a request that is sent to a server.
func (w *Watch) Open(server Incarnation, loss quarantine.Loss, now boottime.Instant) *Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetOld(now)
	if w.count >= maxCalls {
		return nil
	}
	// A server that gets requests again has not ended.
	delete(w.endedAt, server)
	if w.calls == nil {
		w.calls = make(map[Incarnation]map[*Call]bool)
	}
	if w.calls[server] == nil {
		w.calls[server] = make(map[*Call]bool)
	}
	c := &Call{watch: w, server: server, loss: loss, sentAt: now}
	w.calls[server][c] = true
	w.count++
	return c
}

// Close ends the watch of a request that the server did not run, or that is known not to end it. A
// request that was lost, or that waits for its server to stay up, is watched on.
func (c *Call) Close() {
	if c == nil {
		return
	}
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	if c.lostAt == 0 && c.confirmedFrom == 0 {
		c.watch.remove(c)
	}
}

// Answer says that the request was answered completely. The answer is returned by Settle if its
// server stays up, unless it clears nothing; otherwise the server may have ended because of the
// request. The answer of a request that is not watched proves nothing.
func (c *Call) Answer(answer quarantine.Answer, now boottime.Instant) {
	if c == nil {
		return
	}
	w := c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.calls[c.server][c] || c.lostAt != 0 || c.confirmedFrom != 0 {
		return
	}
	c.answer = answer
	c.confirmedFrom = now.AddMillis(settleMillis)
	w.confirmUp(c.server, now)
}

// Lose says that the request got no answer. Silent says that nothing came until its deadline
// passed or its caller left. It returns a silent request if its server has ended without notice
// before: one that leaves breaks its last connections instead. Others are remembered.
func (c *Call) Lose(silent bool, now boottime.Instant) []quarantine.Loss {
	if c == nil {
		return nil
	}
	w := c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.calls[c.server][c] || c.lostAt != 0 || c.confirmedFrom != 0 {
		return nil
	}
	if _, ended := w.endedAt[c.server]; ended && silent {
		w.remove(c)
		return []quarantine.Loss{c.loss}
	}
	c.lostAt = now
	return nil
}

// Unlist says that, by the list of servers, a server has ended without notice. It returns the
// requests that were lost there lately, and those that have waited in vain, but only once: what is
// lost later, the server broke as it left. Answers of the last moment say nothing, as the server may
// only leave, and go on.
func (w *Watch) Unlist(server Incarnation, now boottime.Instant) []quarantine.Loss {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ended := w.endedAt[server]; ended {
		return nil
	}
	return w.takeLost(server, now)
}

// End says that a server has ended without notice. It returns the requests that were lost there
// lately, those that have waited in vain, and those that were answered a moment ago.
func (w *Watch) End(server Incarnation, now boottime.Instant) []quarantine.Loss {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(w.takeLost(server, now), w.takeUnsettled(server, now)...)
}

// Replace says that another incarnation has taken the place of a server that ended without notice. It
// returns the same as End, but what was lost only once.
func (w *Watch) Replace(server Incarnation, now boottime.Instant) []quarantine.Loss {
	lost := w.Unlist(server, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(lost, w.takeUnsettled(server, now)...)
}

// takeLost notes the end of a server, and removes and returns the requests that had no answer there.
// The caller holds mu.
func (w *Watch) takeLost(server Incarnation, now boottime.Instant) []quarantine.Loss {
	w.forgetOld(now)
	if w.endedAt == nil {
		w.endedAt = make(map[Incarnation]boottime.Instant)
	}
	w.endedAt[server] = now
	var losses []quarantine.Loss
	for c := range w.calls[server] {
		if c.unsettled() {
			continue
		}
		switch {
		case c.confirmedFrom != 0:
			losses = append(losses, c.lossAfterAnswer())
		case c.lostAt != 0 || now.MillisSince(c.sentAt) >= silentMillis:
			losses = append(losses, c.loss)
		default:
			continue
		}
		w.remove(c)
	}
	w.noteCrash(losses, now)
	return losses
}

// noteCrash notes that a server has ended under requests. The caller holds mu.
func (w *Watch) noteCrash(losses []quarantine.Loss, now boottime.Instant) {
	if len(losses) > 0 {
		w.recentCrashUntil = now.AddMillis(recentCrashMillis)
	}
}

// takeUnsettled removes the requests that a server answered and may have ended because of, and returns
// those whose answers are recent. The caller holds mu.
func (w *Watch) takeUnsettled(server Incarnation, now boottime.Instant) []quarantine.Loss {
	lastUpAt := w.lastUpAt[server]
	var losses []quarantine.Loss
	for c := range w.calls[server] {
		if !c.unsettled() || !lastUpAt.Before(c.confirmedFrom) {
			continue
		}
		if now.Before(c.confirmedFrom.AddMillis(lateMillis)) {
			losses = append(losses, c.lossAfterAnswer())
		}
		w.remove(c)
	}
	w.noteCrash(losses, now)
	return losses
}

// forgetOld forgets what was lost or ended long ago. The caller holds mu.
func (w *Watch) forgetOld(now boottime.Instant) {
	if now.Before(w.pruneAt) {
		return
	}
	w.pruneAt = now.AddMillis(pruneMillis)
	for server, at := range w.endedAt {
		if now.MillisSince(at) > keepMillis {
			delete(w.endedAt, server)
		}
	}
	for _, calls := range w.calls {
		for c := range calls {
			if c.lostAt != 0 && now.MillisSince(c.lostAt) > keepMillis {
				w.remove(c)
			}
		}
	}
}

// remove forgets a request. The caller holds mu.
func (w *Watch) remove(c *Call) {
	calls := w.calls[c.server]
	if !calls[c] {
		return
	}
	delete(calls, c)
	w.count--
	if len(calls) == 0 {
		delete(w.calls, c.server)
		delete(w.lastUpAt, c.server)
	}
}
