package referral

import (
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

// Refused takes a refusal by the owner. A full queue holds for other requests
// too, until the time to come back.
func (r *Referral) Refused(target visit.Target, result *receipt.Result, _ time.Time) {
	if result.Code != receipt.QueueFull && result.Code != receipt.EngineRefused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	r.refusingUntil[target.Backend] = result.RetryAt
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
