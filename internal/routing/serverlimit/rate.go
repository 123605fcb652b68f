package serverlimit

import (
	"math"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// confirmedMillis is the time for which a statement that came back shows that the
	// other hosts hear this one. It covers two repetitions of the statement.
	confirmedMillis = 700
	// aheadSeconds is the usual time until a statement comes back.
	aheadSeconds = 0.25
)

// nextAt returns the time at which this host may send a request: when there is a token for
// all hosts together while they hear of its requests, otherwise when there is one for this
// host alone. The caller holds the mutex.
func (t *Table) nextAt(state *serverState, now boottime.Instant) boottime.Instant {
	t.fill(state, now)
	if t.isConfirmed(state, now) {
		return state.shared.nextAt(t.sharedRate(state, now))
	}
	return state.share.nextAt(t.shareRate(state, now))
}

// fill adds the tokens that came since the buckets were last filled. The caller holds the
// mutex.
func (t *Table) fill(state *serverState, now boottime.Instant) {
	sharedRate, shareRate := t.sharedRate(state, now), t.shareRate(state, now)
	state.shared = state.shared.withFilled(sharedRate, capacity(sharedRate), now)
	shareCapacity := capacity(shareRate)
	if t.isConfirmed(state, now) {
		shareCapacity = t.phase()
	}
	state.share = state.share.withFilled(shareRate, shareCapacity, now)
}

// phase returns the tokens of its own that a host has when the others cease to hear it. It
// differs from host to host, so that hosts that are cut off together do not all send a
// request at once. It ranges from 0 to 1.
func (t *Table) phase() float64 {
	return float64(t.Host) / math.MaxUint64
}

// shareRate returns the requests a second that one host may send if the others do not
// hear of them.
func (t *Table) shareRate(state *serverState, now boottime.Instant) float64 {
	perSecond, _ := t.limit(state, now)
	return max(perSecond, minPerSecond) / float64(max(t.Hosts(), 1))
}

// sharedRate returns the requests a second that the hosts that hear one another may send
// together. The shares of the others are left to them. The caller holds the mutex.
func (t *Table) sharedRate(state *serverState, now boottime.Instant) float64 {
	together := 1
	for _, p := range state.peers {
		if now.MillisSince(p.heardAt) <= confirmedMillis {
			together++
		}
	}
	return t.shareRate(state, now) * float64(min(together, max(t.Hosts(), 1)))
}

// isConfirmed reports whether the other hosts hear of this host's requests: its statements
// came back lately, with all but the newest requests. The caller holds the mutex.
func (t *Table) isConfirmed(state *serverState, now boottime.Instant) bool {
	if state.confirmedAt == 0 || now.MillisSince(state.confirmedAt) > confirmedMillis {
		return false
	}
	ahead := float64(state.sent.newSince(state.confirmed))
	return ahead <= aheadSeconds*t.shareRate(state, now)
}
