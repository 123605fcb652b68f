package booking

import "time"

const (
	// medianQuantile is the quantile of an even chance.
	medianQuantile = 0.5
	// hopeQuantile is the quantile of the answer's length with which a deadline
	// must be within reach; below it the request is refused at once.
	hopeQuantile = 0.1
	// displacedDivisor is the part of the batch that may be pushed aside for the
	// places of urgent requests.
	displacedDivisor = 2
)

// Offer decides on a new request. After Admit the generation counts as running;
// after Wait it stands in the queue; after Refuse nothing is held.
func (b *Book) Offer(r Request, now time.Time) Decision {
	if b.holds(r.RequestID) {
		return Refuse{RequestID: r.RequestID, Reason: ReasonDuplicate}
	}
	if roundUp(r.PromptTokens+1, b.BlockTokens) > b.limitTokens(r.Urgent) {
		return Refuse{RequestID: r.RequestID, Reason: ReasonTooLarge}
	}
	w := &Waiting{
		Request:        r,
		QueuedAt:       now,
		ExpectedTokens: b.Lengths.Remaining(r.Class, r.Account, 0, expectedQuantile),
	}
	p := b.placeOf(w, now)
	reason := ReasonBehind
	if p.ahead == 0 {
		admit, blocked := b.try(w, b.profiles())
		if blocked == 0 && !b.late(w, now) {
			b.start(w, now)
			return admit
		}
		reason = blocked
	}
	return b.enqueue(w, p, reason, now)
}

// enqueue puts a request that cannot start into the queue, or refuses it.
func (b *Book) enqueue(w *Waiting, p place, reason Reason, now time.Time) Decision {
	startAt := b.startAt(p.ahead, now)
	if b.late(w, startAt) {
		return Refuse{RequestID: w.RequestID, Reason: ReasonDeadline, RetryAt: b.retryAt(now)}
	}
	if full, ok := b.room(w, p); !ok {
		return Refuse{RequestID: w.RequestID, Reason: full, RetryAt: b.retryAt(now)}
	}
	b.waiting = append(b.waiting, w)
	return Wait{RequestID: w.RequestID, Position: p.ahead + 1, Reason: reason, StartAt: startAt}
}

// late tells whether a request that starts at the given time has no fair chance
// to end before its deadline.
func (b *Book) late(w *Waiting, startAt time.Time) bool {
	if w.Deadline.IsZero() {
		return false
	}
	tokens := b.Lengths.Remaining(w.Class, w.Account, 0, hopeQuantile)
	if w.MaxTokens > 0 {
		tokens = min(tokens, w.MaxTokens)
	}
	usual := time.Duration(tokens) * time.Duration(b.StepMicros) * time.Microsecond
	return startAt.Add(usual).After(w.Deadline)
}

// try returns the start of a request, or what stands against it. An urgent
// request is held against the urgent generations alone, since the others can be
// preempted. On a start the profiles include it.
func (b *Book) try(w *Waiting, p profiles) (Admit, Reason) {
	if len(b.running) >= b.batchLimit(w) {
		return Admit{}, ReasonBatch
	}
	against := p.all
	if w.Urgent {
		against = p.urgent
	}
	with := against.clone()
	b.include(with, w.Request, 0)
	f := b.forecast(with, w.Urgent)
	if !f.fits() && len(b.running) > 0 {
		return Admit{}, ReasonMemory
	}
	*against = *with
	if w.Urgent {
		b.include(p.all, w.Request, 0)
	}
	return Admit{RequestID: w.RequestID, QueuedAt: w.QueuedAt, Forecast: f}, 0
}

// batchLimit returns how many generations may run with the request included.
func (b *Book) batchLimit(w *Waiting) int {
	if w.Urgent {
		return b.BatchLimit + b.displaceable(w.Priority)
	}
	return max(1, b.BatchLimit-b.urgentPlaces())
}

// displaceable returns how many generations may be pushed aside in all for the
// places of urgent ones of the given priority. They count as running until they
// end, so that nothing new starts before they go on.
func (b *Book) displaceable(priority int) int {
	lower := 0
	for _, r := range b.running {
		if !r.Urgent && r.Priority < priority {
			lower++
		}
	}
	return min(lower, max(1, b.BatchLimit/displacedDivisor))
}

// urgentPlaces returns the places of the batch that only urgent requests may
// take. A small batch keeps one, where any headroom is asked for.
func (b *Book) urgentPlaces() int {
	if b.Policy.UrgentHeadroomPermille <= 0 {
		return 0
	}
	return max(1, b.BatchLimit*b.Policy.UrgentHeadroomPermille/1000)
}

// start counts a request as running.
func (b *Book) start(w *Waiting, now time.Time) {
	if b.byID == nil {
		b.byID = make(map[string]*Running)
	}
	r := &Running{Request: w.Request, StartedAt: now}
	b.byID[w.RequestID] = r
	b.running = append(b.running, r)
	b.ledger.advance(w.Account)
	b.ledger.charge(w.Account, w.PromptTokens, b.share(w.Account))
}
