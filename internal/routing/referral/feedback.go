package referral

import (
	"maps"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/allowance"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/visit"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe takes the load that a reply carried.
func (r *Referral) Observe(load *message.Load, askedAt, now time.Time) {
	if r.Roster.Observe(load, askedAt, now) != nil {
		return
	}
	name := load.GetBackend()
	if member, found := r.Roster.Snapshot().Find(name); found {
		r.VersionSeen(load.GetConfigVersion(), member.Host.PeerAddress)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sent, name)
}

// pruneMillis is the period at which refusals that have ended are dropped.
const pruneMillis = 1000

// refusal names what the refusal of an owner holds for. An owner decides by
// client account and class, so it says nothing about the requests of others.
type refusal struct {
	backend string
	account string
	class   string
}

func refusalOf(s visit.Selection, backend string) refusal {
	return refusal{backend: backend, account: s.Account, class: s.Class}
}

// Refused takes a refusal by the owner. A full queue holds for other requests
// of the same client account and class too, until the time to come back.
func (r *Referral) Refused(s visit.Selection, target visit.Target, result *receipt.Result, now time.Time) {
	if result.Code != receipt.QueueFull && result.Code != receipt.EngineRefused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	r.prune(now)
	r.refusingUntil[refusalOf(s, target.Backend)] = result.RetryAt
}

// prune drops refusals that have ended. The caller holds the mutex.
func (r *Referral) prune(now time.Time) {
	if now.Before(r.pruneAt) {
		return
	}
	r.pruneAt = now.Add(pruneMillis * time.Millisecond)
	maps.DeleteFunc(r.refusingUntil, func(_ refusal, until time.Time) bool { return !until.After(now) })
}

// Unreachable takes a failure to reach the owner.
func (r *Referral) Unreachable(target visit.Target, now time.Time) {
	// A target that the roster no longer holds needs no mark.
	_ = r.Roster.DialFailed(target.Backend, now)
}

// Retry decides whether and when a failed attempt is followed by another.
func (r *Referral) Retry(attempt allowance.Attempt, now time.Time) allowance.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	return r.budget.Decide(attempt, r.random, now)
}

// Succeeded takes a request that ended well; it earns retry budget.
func (r *Referral) Succeeded(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	r.budget.Succeed()
}

// Locate finds the process of one incarnation of a backend server.
func (r *Referral) Locate(backend string, incarnation uint64) (visit.Target, visit.Presence) {
	member, found := r.Roster.Snapshot().Find(backend)
	if !found {
		return visit.Target{}, visit.Unlisted
	}
	target := visit.Target{
		Backend:     backend,
		PeerAddress: member.Host.PeerAddress,
		Incarnation: incarnation,
		Reason:      "Owner",
	}
	if member.Incarnation != 0 && member.Incarnation != incarnation {
		return target, visit.Replaced
	}
	return target, visit.Present
}
