package membership

import (
	"slices"
	"time"
)

// Limits of what is kept for a member.
const (
	// suspectFirst is how long a member is suspect after one failed dial.
	suspectFirst = 500 * time.Millisecond
	// suspectMax bounds the doubling of that time.
	suspectMax = 30 * time.Second
	// maxFormer bounds the former incarnations kept.
	maxFormer = 16
	// unlistedGrace is how long a member that the list no longer names is kept
	// after its last answer.
	unlistedGrace = 30 * time.Second
)

// Member is a host as this process knows it at one moment. It is immutable:
// With methods return changed copies.
type Member struct {
	Host Host
	// Incarnation that answered last. Zero means that none ever did. A former
	// incarnation never returns.
	Incarnation uint64
	// Load is the last one reported by Incarnation.
	Load Load
	// SeenAt is the time of the last answer, zero when there was none.
	SeenAt time.Time
	// SuspectUntil is the time before which no new work is sent after failed
	// dials. Zero means that the last dial succeeded.
	SuspectUntil time.Time
	// DropAt is the time from which a list that does not name the member drops
	// it. Zero while the list names it.
	DropAt time.Time

	// reportedLeaving is set when Incarnation said that it is leaving. Only a new
	// incarnation clears it.
	reportedLeaving bool
	// former incarnations, oldest first.
	former []uint64
	// failedDials counts the dials failed in a row.
	failedDials int
}

// Leaving reports whether the member takes no new work: its process said so,
// whatever the list says, or the list does.
func (m Member) Leaving() bool {
	return m.reportedLeaving || m.Host.State == StateLeaving
}

// Suspect reports whether dials failed lately, so that now is too early to try
// again.
func (m Member) Suspect(now time.Time) bool {
	return now.Before(m.SuspectUntil)
}

// Eligible reports whether new work may be sent.
func (m Member) Eligible(now time.Time) bool {
	return !m.Leaving() && !m.Suspect(now)
}

// Age returns the time since the last answer, and false when there was none.
func (m Member) Age(now time.Time) (time.Duration, bool) {
	if m.SeenAt.IsZero() {
		return 0, false
	}
	return now.Sub(m.SeenAt), true
}

// WithHost returns the member as the list names it now.
func (m Member) WithHost(h Host) Member {
	if h.PeerAddress != m.Host.PeerAddress {
		m.failedDials = 0
		m.SuspectUntil = time.Time{}
	}
	m.Host = h
	m.DropAt = time.Time{}
	return m
}

// WithoutListing returns the member after a list that does not name it.
func (m Member) WithoutListing(now time.Time) Member {
	if m.DropAt.IsZero() {
		m.DropAt = now.Add(unlistedGrace)
	}
	return m
}

// WithFailedDial returns the member after a failed dial. Dials that fail while
// the member is suspect already count once.
func (m Member) WithFailedDial(now time.Time) Member {
	if m.Suspect(now) {
		return m
	}
	m.failedDials++
	m.SuspectUntil = now.Add(suspectTime(m.failedDials))
	return m
}

// WithAnswer returns the member after an answer, and false when the answer is
// from an incarnation that is not the latest one.
func (m Member) WithAnswer(a Answer) (Member, bool) {
	if !m.accepts(a) {
		return m, false
	}
	if a.Incarnation != m.Incarnation {
		m = m.withIncarnation(a.Incarnation)
	}
	m.reportedLeaving = m.reportedLeaving || a.Leaving
	m.failedDials = 0
	m.SuspectUntil = time.Time{}
	if a.SeenAt.After(m.SeenAt) {
		m.SeenAt = a.SeenAt
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

// accepts reports whether an answer is from the latest incarnation. Another
// one than the current is newer only if it was asked after the current one
// answered last.
func (m Member) accepts(a Answer) bool {
	if a.Incarnation == 0 {
		return false
	}
	if a.Incarnation == m.Incarnation || m.Incarnation == 0 {
		return true
	}
	return a.AskedAt.After(m.SeenAt) && !slices.Contains(m.former, a.Incarnation)
}

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

// suspectTime doubles with each failure in a row, up to suspectMax.
func suspectTime(failures int) time.Duration {
	wait := suspectFirst
	for range failures - 1 {
		wait *= 2
		if wait >= suspectMax {
			return suspectMax
		}
	}
	return wait
}
