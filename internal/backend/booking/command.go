package booking

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotRunning is returned for a request that is not on the engine.
var ErrNotRunning = errors.New("the request is not running")

// Next starts the waiting requests that fit now, in the order of their start.
func (b *Book) Next(now time.Time) []Admit {
	if len(b.waiting) == 0 {
		b.pace.idle()
		return nil
	}
	var started []Admit
	p := b.profiles()
	for {
		admit, ok := b.nextOne(p, now)
		if !ok {
			return started
		}
		started = append(started, admit)
	}
}

// nextOne starts the first waiting request that fits. Requests behind the first
// may start before it only a bounded number of times.
func (b *Book) nextOne(p profiles, now time.Time) (Admit, bool) {
	slices.SortFunc(b.waiting, func(first, second *Waiting) int {
		return b.order(first, second, now)
	})
	for i, w := range b.waiting {
		if i > overtakeDepth {
			break
		}
		admit, blocked := b.try(w, p)
		if blocked == 0 {
			b.startWaiting(i, now)
			return admit, true
		}
		if w.Overtaken >= overtakeLimit {
			break
		}
	}
	return Admit{}, false
}

// startWaiting moves the request at an index of the queue to the engine.
func (b *Book) startWaiting(index int, now time.Time) {
	for _, w := range b.waiting[:index] {
		w.Overtaken++
	}
	w := b.waiting[index]
	b.waiting = slices.Delete(b.waiting, index, index+1)
	b.start(w, now)
	b.pace.started(now)
}

// Expire drops the waiting requests whose deadline cannot be met any more. They
// were not run.
func (b *Book) Expire(now time.Time) []Refuse {
	var expired []Refuse
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Waiting) bool {
		if !b.late(w, now) {
			return false
		}
		expired = append(expired, Refuse{
			RequestID: w.RequestID,
			Reason:    ReasonDeadline,
			RetryAt:   b.retryAt(now),
		})
		return true
	})
	return expired
}

// Progress records how many tokens a running generation has produced in all.
func (b *Book) Progress(id string, produced int) error {
	r, ok := b.byID[id]
	if !ok {
		return errors.Wrapf(ErrNotRunning, "progress of %s", id)
	}
	if produced <= r.Produced {
		return nil
	}
	b.ledger.charge(r.Account, produced-r.Produced, b.share(r.Account))
	r.Produced = produced
	return nil
}

// Release forgets a request, running or waiting. It does nothing for one that
// is not held.
func (b *Book) Release(id string) {
	if r, ok := b.byID[id]; ok {
		delete(b.byID, id)
		b.running = slices.DeleteFunc(b.running, func(other *Running) bool {
			return other == r
		})
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Waiting) bool {
		return w.RequestID == id
	})
}

// SetStep records the time between two tokens as measured on the engine, in
// microseconds.
func (b *Book) SetStep(micros int) {
	b.StepMicros = max(micros, 1)
}

// SetPolicy replaces the policy and the shares of the client accounts.
func (b *Book) SetPolicy(p Policy, shares map[string]int) {
	b.Policy = p
	b.Shares = shares
}
