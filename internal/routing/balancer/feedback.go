package balancer

import (
	"maps"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Observe takes the load that a reply carried.
func (b *Balancer) Observe(load *message.Load, askedAt, now time.Time) {
	if b.Members.Observe(load, askedAt, now) != nil {
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

// pruneMillis is the period at which refusals that have ended are dropped.
const pruneMillis = 1000

// refusal names what the refusal of an owner holds for. An owner decides by
// client account and class, so it says nothing about the requests of others.
type refusal struct {
	backend string
	account string
	class   string
}

func refusalOf(s dispatch.Selection, backend string) refusal {
	return refusal{backend: backend, account: s.Account, class: s.Class}
}

// Refused takes a refusal by the owner. A full queue holds for other requests
// of the same client account and class too, until the time to come back.
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

// prune drops refusals that have ended. The caller holds the mutex.
func (b *Balancer) prune(now time.Time) {
	if now.Before(b.pruneAt) {
		return
	}
	b.pruneAt = now.Add(pruneMillis * time.Millisecond)
	maps.DeleteFunc(b.refusingUntil, func(_ refusal, until time.Time) bool { return !until.After(now) })
}

// Unreachable takes a failure to reach the owner.
func (b *Balancer) Unreachable(target dispatch.Target, now time.Time) {
	// A target that the membership table no longer holds needs no mark.
	_ = b.Members.DialFailed(target.Backend, now)
}

// Retry decides whether and when a failed attempt is followed by another.
func (b *Balancer) Retry(attempt retrybudget.Attempt, now time.Time) retrybudget.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	return b.budget.Decide(attempt, b.random, now)
}

// Succeeded takes a request that ended well; it earns retry budget.
func (b *Balancer) Succeeded(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	b.budget.RecordSuccess()
}

// Locate finds the process of one incarnation of a backend server.
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
