package admission

import "time"

const (
	// medianQuantile is the quantile of the answer length with which the interval
	// between starts is estimated.
	medianQuantile = 0.5
	// optimisticQuantile is the quantile of the answer length with which a request
	// must be able to meet its deadline. A request that would miss the deadline
	// even with so short an answer is refused at once.
	optimisticQuantile = 0.1
	// preemptibleDivisor limits the generations that may be preempted to free
	// slots for urgent requests: at most the batch limit divided by it.
	preemptibleDivisor = 2
)

// Offer decides on a new request. After Admit the generation counts as running,
// after Wait it is in the queue, and after Refuse the Controller does not keep
// it.
func (c *Controller) Offer(r Request, now time.Time) Decision {
	if c.holds(r.RequestID) {
		return Refuse{RequestID: r.RequestID, Reason: ReasonDuplicate}
	}
	if roundUp(r.PromptTokens+1, c.BlockTokens) > c.limitTokens(r.Urgent) {
		return Refuse{RequestID: r.RequestID, Reason: ReasonTooLarge}
	}
	w := &Waiting{
		Request:        r,
		QueuedAt:       now,
		ExpectedTokens: c.Lengths.Remaining(r.Class, r.Account, 0, expectedQuantile),
	}
	p := c.queuePositionOf(w, now)
	reason := ReasonBehind
	if p.ahead == 0 {
		admit, blocked := c.tryStart(w, c.profiles())
		if blocked == 0 && !c.missesDeadline(w, now) {
			c.start(w, now)
			return admit
		}
		reason = blocked
	}
	return c.enqueue(w, p, reason, now)
}

// enqueue queues a request that cannot start now, or refuses it.
func (c *Controller) enqueue(w *Waiting, p queuePosition, reason Reason, now time.Time) Decision {
	startAt := c.startAt(p.ahead, now)
	if c.missesDeadline(w, startAt) {
		return Refuse{RequestID: w.RequestID, Reason: ReasonDeadline, RetryAt: c.retryAt(now)}
	}
	if full, ok := c.checkQueueSpace(w, p); !ok {
		return Refuse{RequestID: w.RequestID, Reason: full, RetryAt: c.retryAt(now)}
	}
	c.waiting = append(c.waiting, w)
	return Wait{RequestID: w.RequestID, Position: p.ahead + 1, Reason: reason, StartAt: startAt}
}

// missesDeadline reports whether a request that starts at the given time would
// miss its deadline even if its answer is short, see optimisticQuantile.
func (c *Controller) missesDeadline(w *Waiting, startAt time.Time) bool {
	if w.Deadline.IsZero() {
		return false
	}
	tokens := c.Lengths.Remaining(w.Class, w.Account, 0, optimisticQuantile)
	if w.MaxTokens > 0 {
		tokens = min(tokens, w.MaxTokens)
	}
	duration := time.Duration(tokens) * time.Duration(c.StepMicros) * time.Microsecond
	return startAt.Add(duration).After(w.Deadline)
}

// tryStart checks whether a request fits now. If it does, tryStart adds it to the
// profiles and returns the zero Reason; otherwise it returns why the request does
// not fit. The memory of an urgent request is compared with the urgent
// generations alone, since the others can be preempted. On an engine that runs
// nothing, a request starts whatever its forecast.
func (c *Controller) tryStart(w *Waiting, p profiles) (Admit, Reason) {
	if len(c.running) >= c.batchLimit(w) {
		return Admit{}, ReasonBatch
	}
	against := p.all
	if w.Urgent {
		against = p.urgent
	}
	with := against.clone()
	c.include(with, w.Request, 0)
	f := c.forecast(with, w.Urgent)
	if !f.fits() && len(c.running) > 0 {
		return Admit{}, ReasonMemory
	}
	*against = *with
	if w.Urgent {
		c.include(p.all, w.Request, 0)
	}
	return Admit{RequestID: w.RequestID, QueuedAt: w.QueuedAt, Forecast: f}, 0
}

// batchLimit returns the number of generations that may run, including the
// request.
func (c *Controller) batchLimit(w *Waiting) int {
	if w.Urgent {
		return c.BatchLimit + c.preemptible(w.Priority)
	}
	return max(1, c.BatchLimit-c.urgentSlots())
}

// preemptible returns how many generations may be preempted in total to free
// slots for urgent ones of the given priority. Preempted generations count as
// running until they end, so that no new request starts before they resume.
func (c *Controller) preemptible(priority int) int {
	lower := 0
	for _, r := range c.running {
		if !r.Urgent && r.Priority < priority {
			lower++
		}
	}
	return min(lower, max(1, c.BatchLimit/preemptibleDivisor))
}

// urgentSlots returns the number of batch slots that are reserved for urgent
// requests. If the policy reserves any headroom, a small batch has at least one
// such slot.
func (c *Controller) urgentSlots() int {
	if c.Policy.UrgentHeadroomPermille <= 0 {
		return 0
	}
	return max(1, c.BatchLimit*c.Policy.UrgentHeadroomPermille/1000)
}

// start records a request as running and charges its prompt to its account.
func (c *Controller) start(w *Waiting, now time.Time) {
	if c.byID == nil {
		c.byID = make(map[string]*Running)
	}
	r := &Running{Request: w.Request, StartedAt: now}
	c.byID[w.RequestID] = r
	c.running = append(c.running, r)
	c.usage.advance(w.Account)
	c.usage.charge(w.Account, w.PromptTokens, c.share(w.Account))
}
