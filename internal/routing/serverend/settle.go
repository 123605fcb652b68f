package serverend

import (
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
)

// Settle returns the answers whose servers have stayed up, and the servers of which nothing shows
// whether they did: they have to be checked. ConfirmUp, End or MarkUnverified take the result of a check.
func (w *Watch) Settle(now boottime.Instant) (settled []quarantine.Answer, unverified []Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetOld(now)
	for server, calls := range w.calls {
		overdue := false
		for c := range calls {
			switch {
			case !c.unsettled():
			case !w.lastUpAt[server].Before(c.confirmedFrom):
				if !c.answer.IsZero() {
					settled = append(settled, c.answer)
				}
				w.remove(c)
			case !now.Before(w.checkAt(c, now)):
				overdue = true
			}
		}
		if overdue {
			unverified = append(unverified, server)
		}
	}
	return settled, unverified
}

// checkAt returns the time from which the server of an answered request has to be checked. The
// caller holds mu.
func (w *Watch) checkAt(c *Call, now boottime.Instant) boottime.Instant {
	if now.Before(w.recentCrashUntil) || c.answer.HasEvidence() {
		return c.confirmedFrom.AddMillis(confirmMillis)
	}
	return c.confirmedFrom.AddMillis(relaxedConfirmMillis)
}

// ConfirmUp says that a server was up at a time.
func (w *Watch) ConfirmUp(server Incarnation, at boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmUp(server, at)
}

// confirmUp notes that a server was up. The caller holds mu.
func (w *Watch) confirmUp(server Incarnation, at boottime.Instant) {
	if len(w.calls[server]) == 0 {
		return
	}
	if w.lastUpAt == nil {
		w.lastUpAt = make(map[Incarnation]boottime.Instant)
	}
	w.lastUpAt[server] = max(w.lastUpAt[server], at)
}

// MarkUnverified says that a check did not show whether a server is up. Its answers up to now prove nothing,
// and count as lost if the list of servers says later that it has ended without notice.
func (w *Watch) MarkUnverified(server Incarnation, now boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls[server] {
		if c.unsettled() && !now.Before(c.confirmedFrom) && w.lastUpAt[server].Before(c.confirmedFrom) {
			c.lostAt = now
		}
	}
}
