package balancer

import (
	"maps"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe records the load that a reply carried. The request was sent at
// requestedAt. A reply that the membership table does not accept is ignored.
func (b *Balancer) Observe(load *message.Load, requestedAt, now time.Time) {
	if len(load.GetCrashes()) > 0 && b.CrashesSeen != nil {
		b.CrashesSeen(load.GetCrashes())
	}
	if b.Members.Observe(load, requestedAt, now) != nil {
		return
	}
	name := load.GetBackend()
	if member, found := b.Members.Snapshot().Find(name); found {
		b.VersionSeen(load.GetConfigVersion(), member.Host.PeerAddress)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sent, name)
}

// pruneMillis is the minimum interval between two deletions of ended refusals.
const pruneMillis = 1000

// refusal identifies the requests that an owner's refusal applies to. An owner
// decides by client account and class, so a refusal does not apply to requests of
// another account or class.
type refusal struct {
	backend string
	account string
	class   string
}

func refusalOf(s dispatch.Selection, backend string) refusal {
	return refusal{backend: backend, account: s.Account, class: s.Class}
}

// Refused records a refusal by the owner of a backend server, the process beside it.
// Only a full queue and a refusal by the engine are recorded. They also apply to other
// requests of the same client account and class, until the earliest useful retry time.
func (b *Balancer) Refused(s dispatch.Selection, target dispatch.Target, result *resultcode.Result, now time.Time) {
	if result.Code != resultcode.QueueFull && result.Code != resultcode.EngineRefused {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	b.prune(now)
	b.refusingUntil[refusalOf(s, target.Backend)] = result.RetryAt
}

// prune deletes ended refusals. The caller holds the mutex.
func (b *Balancer) prune(now time.Time) {
	if now.Before(b.pruneAt) {
		return
	}
	b.pruneAt = now.Add(pruneMillis * time.Millisecond)
	maps.DeleteFunc(b.refusingUntil, func(_ refusal, until time.Time) bool { return !until.After(now) })
}

// Unreachable records that the owner could not be reached.
func (b *Balancer) Unreachable(target dispatch.Target, now time.Time) {
	// The error only means that the membership table no longer holds the target.
	_ = b.Members.DialFailed(target.Backend, now)
}

// Retry decides whether and when a failed attempt is retried.
func (b *Balancer) Retry(attempt retrybudget.Attempt, now time.Time) retrybudget.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	return b.budget.Decide(attempt, b.random, now)
}

// Succeeded records a successful request, which adds to the retry budget.
func (b *Balancer) Succeeded(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	b.budget.RecordSuccess()
}

// Locate returns the address of the process of a backend server, and whether that
// process may still be the given incarnation.
func (b *Balancer) Locate(backend string, incarnation uint64) (dispatch.Target, dispatch.Presence) {
	member, found := b.Members.Snapshot().Find(backend)
	if !found {
		return dispatch.Target{}, dispatch.Unlisted
	}
	target := dispatch.Target{
		Backend:     backend,
		PeerAddress: member.Host.PeerAddress,
		Incarnation: incarnation,
		Reason:      "Owner",
	}
	if member.Incarnation != 0 && member.Incarnation != incarnation {
		return target, dispatch.Replaced
	}
	return target, dispatch.Present
}
