package admission

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotRunning is returned for a request that does not run on the engine.
var ErrNotRunning = errors.New("the request is not running")

// Next starts the waiting requests that fit now and returns them in the order in
// which they started.
func (c *Controller) Next(now time.Time) []Admit {
	if len(c.waiting) == 0 {
		c.pace.idle()
		return nil
	}
	var started []Admit
	p := c.profiles()
	for {
		admit, ok := c.nextOne(p, now)
		if !ok {
			return started
		}
		started = append(started, admit)
	}
}

// nextOne starts the first waiting request that fits. It considers only the first
// overtakeDepth+1 requests, and none behind a request that has been overtaken
// overtakeLimit times, so that a large request does not starve.
func (c *Controller) nextOne(p profiles, now time.Time) (Admit, bool) {
	slices.SortFunc(c.waiting, func(first, second *Waiting) int {
		return c.order(first, second, now)
	})
	for i, w := range c.waiting {
		if i > overtakeDepth {
			break
		}
		admit, blocked := c.tryStart(w, p)
		if blocked == 0 {
			c.startWaiting(i, now)
			return admit, true
		}
		if w.Overtaken >= overtakeLimit {
			break
		}
	}
	return Admit{}, false
}

// startWaiting removes the request at the given index from the queue and starts
// it.
func (c *Controller) startWaiting(index int, now time.Time) {
	for _, w := range c.waiting[:index] {
		w.Overtaken++
	}
	w := c.waiting[index]
	c.waiting = slices.Delete(c.waiting, index, index+1)
	c.start(w, now)
	c.pace.started(now)
}

// Expire removes the waiting requests that can no longer meet their deadline and
// returns a refusal for each. These requests did not run.
func (c *Controller) Expire(now time.Time) []Refuse {
	var expired []Refuse
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiting) bool {
		if !c.missesDeadline(w, now) {
			return false
		}
		expired = append(expired, Refuse{
			RequestID: w.RequestID,
			Reason:    ReasonDeadline,
			RetryAt:   c.retryAt(now),
		})
		return true
	})
	return expired
}

// Progress records the total number of tokens that a running generation has
// produced.
func (c *Controller) Progress(id string, produced int) error {
	r, ok := c.byID[id]
	if !ok {
		return errors.Wrapf(ErrNotRunning, "progress of %s", id)
	}
	if produced <= r.Produced {
		return nil
	}
	c.usage.charge(r.Account, produced-r.Produced, c.share(r.Account))
	r.Produced = produced
	return nil
}

// Release removes a running or waiting request. It does nothing if the request is
// unknown.
func (c *Controller) Release(id string) {
	if r, ok := c.byID[id]; ok {
		delete(c.byID, id)
		c.running = slices.DeleteFunc(c.running, func(other *Running) bool {
			return other == r
		})
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiting) bool {
		return w.RequestID == id
	})
}

// SetStep sets the time between two tokens of one generation, as measured on the
// engine, in microseconds.
func (c *Controller) SetStep(micros int) {
	c.StepMicros = max(micros, 1)
}

// SetPolicy replaces the policy and the shares of the client accounts.
func (c *Controller) SetPolicy(p Policy, shares map[string]int) {
	c.Policy = p
	c.Shares = shares
}
