// Package hedge decides whether a request whose first attempt takes unusually long is sent to a
// second backend server as well (a hedged request). It answers to two loads: that of a server
// that is slow for a moment, which a hedge avoids, and that of the hedges themselves, which
// Ratio bounds. Table holds, for each route, the answer times of this entry host and the hedges
// that it has sent; Decide is the decision. The package does no I/O and reads no clock.
package hedge

import (
	"container/list"
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// maxRoutes bounds the routes that are remembered; a route takes up to 110 KB. The requests
	// of further routes are not hedged.
	maxRoutes = 32
	// maxBackMillis is how far a time may lie before an earlier one, as callers read the clock
	// before they get the mutex. Beyond that the clock was set back, and all that was learnt is
	// dropped.
	maxBackMillis = 1000
)

// Table holds what one entry host knows of its routes. It is safe for concurrent use.
type Table struct {
	// Ratio is the number of hedges allowed per first attempt of a route in a sliding window. As
	// each host keeps to it by itself, all of them together do. It is set before use.
	Ratio float64

	mu     sync.Mutex
	routes map[string]*route
	// latest is the latest time that was passed in.
	latest boottime.Instant
}

// Call is the first attempt of a request. A nil Call stands for one of a route that is not
// remembered.
type Call struct {
	table   *Table
	route   *route
	beganAt boottime.Instant
	// lateAt is the time from which the call takes longer than the quantile; zero if that was not
	// known when it began.
	lateAt boottime.Instant
	// late says that lateAt has passed, by what the route has counted.
	late bool
	// element is the place of the call among the open calls of its route.
	element *list.Element
}

// Result says how a first attempt ended.
type Result int

// Results of a first attempt.
const (
	// Answered means that its answer arrived completely and is not a failure.
	Answered Result = iota + 1
	// LoserCancelled means that it was cancelled, as the hedge was answered before.
	LoserCancelled
	// Failed means all else.
	Failed
)

// Begin counts the first attempt of a request.
func (t *Table) Begin(name string, now boottime.Instant) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	r := t.find(name, now)
	if r == nil {
		return nil
	}
	r.advance(now)
	r.current().firsts++
	c := &Call{table: t, route: r, beganAt: now}
	if micros := r.quantileAt(now).micros; micros > 0 {
		c.lateAt = now + instantOf(micros)
	}
	c.element = r.open.PushBack(c)
	if r.nextLate == nil {
		r.nextLate = c.element
	}
	return c
}

// LateAt returns the time from which the call takes longer than the quantile of its route, at
// which Decide is to be called. It returns zero for a call that is never hedged. Decide may
// change it.
func (c *Call) LateAt() boottime.Instant {
	if c == nil {
		return 0
	}
	return c.lateAt
}

// Decide decides whether the call is hedged now. A hedge is charged to the share of the route. A
// call that is not late yet, as the quantile has grown, is to be decided again at LateAt.
func (c *Call) Decide(f Facts, now boottime.Instant) Decision {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	now = c.table.advance(now)
	r := c.route
	r.advance(now)
	r.markLate(now)
	estimate := r.quantileAt(now)
	open, late := r.others(c)
	decision := Decide(Inputs{
		Facts:             f,
		ElapsedMicros:     microsSince(now, c.beganAt),
		QuantileMicros:    estimate.micros,
		QuantileAgeMillis: r.answerAgeMillis(now),
		Answers:           estimate.answers,
		OthersOpen:        open,
		OthersLate:        late,
		RecentLate:        r.recentLate,
		Hedges:            r.hedges(),
		Share:             c.table.Ratio * float64(r.firsts()),
	})
	switch d := decision.(type) {
	case Send:
		r.current().hedges++
	case Wait:
		if d.Reason == ReasonNotLate {
			r.postpone(c, c.beganAt+instantOf(estimate.micros))
		}
	}
	return decision
}

// Withdraw takes a hedge back that was not sent after all.
func (c *Call) Withdraw(now boottime.Instant) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.route.advance(c.table.advance(now))
	// In a new slice the hedge stays charged, which errs on the side of fewer hedges.
	if current := c.route.current(); current.hedges > 0 {
		current.hedges--
	}
}

// End records how the call ended. It is called once.
func (c *Call) End(result Result, now boottime.Instant) {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	now = c.table.advance(now)
	c.route.remove(c, now)
	c.route.advance(now)
	switch result {
	case Answered:
		c.route.record(microsSince(now, c.beganAt), true, now)
	case LoserCancelled:
		// The answer would have taken longer, and that far above the quantile it does not matter
		// how much. Without it, the quantile would sink with each hedge.
		c.route.record(microsSince(now, c.beganAt), false, now)
	case Failed:
	}
}

// advance returns now, or the latest time if callers read the clock in another order. The caller
// holds the mutex.
func (t *Table) advance(now boottime.Instant) boottime.Instant {
	if t.latest.MillisSince(now) > maxBackMillis {
		t.routes = nil
		t.latest = now
	}
	t.latest = max(t.latest, now)
	return t.latest
}

// find returns a route and creates it when there is none. It returns nil if there are too many.
// The caller holds the mutex.
func (t *Table) find(name string, now boottime.Instant) *route {
	if r, ok := t.routes[name]; ok {
		return r
	}
	if len(t.routes) >= maxRoutes && !t.dropUnused(now) {
		return nil
	}
	if t.routes == nil {
		t.routes = make(map[string]*route)
	}
	r := newRoute(now)
	t.routes[name] = r
	return r
}

// dropUnused drops a route without requests in the window, and reports whether there was one. The
// caller holds the mutex.
func (t *Table) dropUnused(now boottime.Instant) bool {
	for name, r := range t.routes {
		r.advance(now)
		if r.open.Len() == 0 && r.firsts() == 0 && r.hedges() == 0 {
			delete(t.routes, name)
			return true
		}
	}
	return false
}
