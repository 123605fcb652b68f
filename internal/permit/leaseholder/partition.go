package leaseholder

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// maxWaiting limits the queued claims of one partition.
	maxWaiting = 4096
	// slowAfterMillis is how long a batch may take before the log counts as slow and
	// new claims are refused.
	slowAfterMillis = 1000
	// takeoverBackoffMillis is the backoff after the first takeover or loss of a
	// lease.
	takeoverBackoffMillis = 1000
	// maxTakeoverBackoffMillis limits the backoff after repeated takeovers or
	// losses.
	maxTakeoverBackoffMillis = 30_000
	// logRetryMillis is the backoff after the first failed call to the log.
	logRetryMillis = 250
	// maxLogRetryMillis limits the backoff after repeated failures.
	maxLogRetryMillis = 5000
)

// waiter is a claim that is queued for a batch.
type waiter struct {
	// ctx is done when the requester no longer waits for the reply.
	ctx     context.Context
	request *message.ClaimRequest
	// reply receives the reply. Its buffer holds one, so that sending never
	// blocks.
	reply chan *message.ClaimReply
}

// partition serves the claims of one partition. One goroutine, the serving
// goroutine, appends to and reads the stream. Other goroutines queue claims and look
// up bindings.
type partition struct {
	holder *Holder
	number uint32
	stream string
	// wake holds one value while claims may be queued.
	wake chan struct{}

	// mu guards the fields down to counts.
	mu sync.Mutex
	// waiting holds the queued claims.
	waiting []*waiter
	// stopped is set once all claims are refused.
	stopped bool
	// state is nil until the stream was read. Only the serving goroutine changes
	// it, with mu held.
	state state
	// logDownUntil is when the log is used again after a failure. It is zero
	// while the log works.
	logDownUntil time.Time
	// busySince is when the current batch was begun. It is zero while idle.
	busySince time.Time
	counts    Counts

	// The fields below are used only by the serving goroutine.

	// epoch is the epoch of this process's last lease. It is empty before the
	// first lease, and after its loss was detected or the partition was released.
	epoch string
	// renewAt is when the lease is renewed.
	renewAt time.Time
	// takeoverAt is the earliest time of the next takeover.
	takeoverAt      time.Time
	takeoverBackoff *backoff.ExponentialBackOff
	logBackoff      *backoff.ExponentialBackOff
	// nextBatchAt is when the next batch is due at the long-term rate, see
	// scheduleNextBatch.
	nextBatchAt time.Time
}

func newPartition(h *Holder, number uint32) *partition {
	return &partition{
		holder:          h,
		number:          number,
		stream:          claim.StreamOf(number),
		wake:            make(chan struct{}, 1),
		takeoverBackoff: newBackoff(takeoverBackoffMillis, maxTakeoverBackoffMillis),
		logBackoff:      newBackoff(logRetryMillis, maxLogRetryMillis),
	}
}

func newBackoff(firstMillis, maxMillis int) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = time.Duration(firstMillis) * time.Millisecond
	b.MaxInterval = time.Duration(maxMillis) * time.Millisecond
	b.Multiplier = 2
	b.Reset()
	return b
}

// replyWithoutAppend returns the reply to a claim that needs no append, or nil. Any
// reader may return a binding that it has read, at any time: either it is still in
// force, or its owner has promised never to run the request.
func (p *partition) replyWithoutAppend(r *message.ClaimRequest) *message.ClaimReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.lookup(r); ok {
		return boundReply(b)
	}
	return p.refuseEarly(time.Now())
}

// refuseEarly returns a refusal while the log is unavailable or slow, or nil. The
// caller must hold mu.
func (p *partition) refuseEarly(now time.Time) *message.ClaimReply {
	if now.Before(p.logDownUntil) {
		return refuse(CodeLogUnavailable, "log is unavailable", p.logDownUntil)
	}
	if !p.busySince.IsZero() && now.After(p.busySince.Add(slowAfterMillis*time.Millisecond)) {
		return refuse(CodeLogUnavailable, "log is slow", now.Add(retryAfterMillis*time.Millisecond))
	}
	return nil
}

// beginBatch marks the partition as busy with a batch, or returns a refusal for the
// claims of the batch.
func (p *partition) beginBatch(now time.Time) *message.ClaimReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busySince = time.Time{}
	if refusal := p.refuseEarly(now); refusal != nil {
		return refusal
	}
	p.busySince = now
	return nil
}

// endBatch marks the partition as idle.
func (p *partition) endBatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busySince = time.Time{}
}

// lookup returns the binding with which to reply to r. If r reports a binding as
// refused, only a later binding qualifies. The caller must hold mu.
func (p *partition) lookup(r *message.ClaimRequest) (claim.Binding, bool) {
	if p.state == nil {
		return claim.Binding{}, false
	}
	b, ok := p.state.Lookup(r.GetKey())
	return b, ok && b.Offset > r.GetRefused().GetOffset()
}

// enqueue adds a claim to the next batch, or returns a refusal.
func (p *partition) enqueue(w *waiter) *message.ClaimReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return refuse(CodeStopping, "entry host is stopping", time.Now())
	}
	if len(p.waiting) >= maxWaiting {
		return refuse(CodeBusy, "too many claims wait", time.Now().Add(retryAfterMillis*time.Millisecond))
	}
	p.waiting = append(p.waiting, w)
	p.signal()
	return nil
}

// signal wakes up the serving goroutine.
func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes the claims of the next batch from the queue.
func (p *partition) takeBatch() []*waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.waiting), maxBatchClaims)
	queue := p.waiting[:n:n]
	p.waiting = p.waiting[n:]
	if len(p.waiting) > 0 {
		p.signal()
	}
	return queue
}

// stop refuses all queued claims and all later ones.
func (p *partition) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	replyAll(p.waiting, refuse(CodeStopping, "entry host is stopping", time.Now()))
	p.waiting = nil
}

// replyAll sends the same reply to all claims.
func replyAll(queue []*waiter, reply *message.ClaimReply) {
	for _, w := range queue {
		w.reply <- reply
	}
}
