package membership

import (
	"slices"
	"time"
)

// Limits of the state kept for a member.
const (
	// suspectFirst is the time for which a member is suspect after one failed
	// dial.
	suspectFirst = 500 * time.Millisecond
	// suspectMax limits the time for which a member is suspect, which doubles with
	// each further failed dial.
	suspectMax = 30 * time.Second
	// maxFormer is the maximum number of former incarnations kept.
	maxFormer = 16
	// unlistedGrace is the time for which a member that the host list no longer
	// names is kept after its last reply.
	unlistedGrace = 30 * time.Second
)

// Member is this process's view of a host at one moment. It is immutable: methods
// whose names begin with With return changed copies.
type Member struct {
	Host Host
	// Incarnation is the one that replied last. Zero means that none has replied.
	// A former incarnation never becomes the current one again.
	Incarnation uint64
	// Load is the last one that Incarnation reported.
	Load Load
	// SeenAt is the time of the last reply. It is zero if there was none.
	SeenAt time.Time
	// SuspectUntil is the time until which no new work is sent to the member after
	// failed dials. It is zero if no dial has failed since the last reply or
	// change of address.
	SuspectUntil time.Time
	// DropAt is the time from which a host list that does not name the member
	// drops it. It is zero while the list names the member.
	DropAt time.Time

	// reportedLeaving is set when Incarnation reported that it is draining. Only
	// a new incarnation clears it.
	reportedLeaving bool
	// former holds the former incarnations, oldest first.
	former []uint64
	// failedDials is the number of consecutive failed dials.
	failedDials int
}

// Leaving reports whether the member is draining and takes no new work, according
// to its process or to the host list.
func (m Member) Leaving() bool {
	return m.reportedLeaving || m.Host.State == StateLeaving
}

// Suspect reports whether dials to the member failed so recently that it gets no new
// work and no probe at the time now.
func (m Member) Suspect(now time.Time) bool {
	return now.Before(m.SuspectUntil)
}

// Eligible reports whether new work may be sent to the member.
func (m Member) Eligible(now time.Time) bool {
	return !m.Leaving() && !m.Suspect(now)
}

// Age returns the time since the last reply, and false if there was none.
func (m Member) Age(now time.Time) (time.Duration, bool) {
	if m.SeenAt.IsZero() {
		return 0, false
	}
	return now.Sub(m.SeenAt), true
}

// WithHost returns the member with its current entry in the host list. A new
// address clears the failed dials.
func (m Member) WithHost(h Host) Member {
	if h.PeerAddress != m.Host.PeerAddress {
		m.failedDials = 0
		m.SuspectUntil = time.Time{}
	}
	m.Host = h
	m.DropAt = time.Time{}
	return m
}

// WithoutListing returns the member after a host list that does not name it. The
// first such list starts the grace period.
func (m Member) WithoutListing(now time.Time) Member {
	if m.DropAt.IsZero() {
		m.DropAt = now.Add(unlistedGrace)
	}
	return m
}

// WithFailedDial returns the member after a failed dial. Further failures while
// the member is suspect are not counted.
func (m Member) WithFailedDial(now time.Time) Member {
	if m.Suspect(now) {
		return m
	}
	m.failedDials++
	m.SuspectUntil = now.Add(suspectTime(m.failedDials))
	return m
}

// WithReply returns the member after a reply. It returns false if the reply is
// not from the latest incarnation.
func (m Member) WithReply(r Reply) (Member, bool) {
	if !m.accepts(r) {
		return m, false
	}
	if r.Incarnation != m.Incarnation {
		m = m.withIncarnation(r.Incarnation)
	}
	m.reportedLeaving = m.reportedLeaving || r.Leaving
	m.failedDials = 0
	m.SuspectUntil = time.Time{}
	if r.SeenAt.After(m.SeenAt) {
		m.SeenAt = r.SeenAt
	}
	if !m.DropAt.IsZero() {
		m.DropAt = m.SeenAt.Add(unlistedGrace)
	}
	return m, true
}

// WithLoad returns the member with a load that its incarnation reported.
func (m Member) WithLoad(l Load) Member {
	m.Load = l
	return m
}

// accepts reports whether a reply is from the latest incarnation. An incarnation
// other than the current one is newer only if the request was sent after the last
// reply of the current one.
func (m Member) accepts(r Reply) bool {
	if r.Incarnation == 0 {
		return false
	}
	if r.Incarnation == m.Incarnation || m.Incarnation == 0 {
		return true
	}
	return r.RequestedAt.After(m.SeenAt) && !slices.Contains(m.former, r.Incarnation)
}

// withIncarnation returns the member with a new incarnation, whose load and
// draining state are not known yet.
func (m Member) withIncarnation(incarnation uint64) Member {
	if m.Incarnation != 0 {
		former := append(slices.Clone(m.former), m.Incarnation)
		m.former = former[max(0, len(former)-maxFormer):]
	}
	m.Incarnation = incarnation
	m.reportedLeaving = false
	m.Load = Load{}
	return m
}

// suspectTime returns the time for which a member is suspect after the given
// number of consecutive failed dials. It doubles with each one, up to suspectMax.
func suspectTime(failedDials int) time.Duration {
	wait := suspectFirst
	for range failedDials - 1 {
		wait *= 2
		if wait >= suspectMax {
			return suspectMax
		}
	}
	return wait
}
