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
	// maxWaiting bounds the claims that wait in one partition.
	maxWaiting = 4096
	// slowAfterMillis is how long a batch may be under way before new claims
	// are refused.
	slowAfterMillis = 1000
	// takeoverBackoffMillis is the wait after a first takeover or loss.
	takeoverBackoffMillis = 1000
	// maxTakeoverBackoffMillis bounds the wait after repeated ones.
	maxTakeoverBackoffMillis = 30_000
	// logRetryMillis is the wait after a first failure of the log.
	logRetryMillis = 250
	// maxLogRetryMillis bounds the wait after repeated ones.
	maxLogRetryMillis = 5000
)

// waiter is a claim that waits for a batch.
type waiter struct {
	// ctx ends when nobody waits any longer.
	ctx     context.Context
	request *message.ClaimRequest
	// reply has room for the one reply.
	reply chan *message.ClaimReply
}

// partition serves one partition. One goroutine appends and reads; others
// queue claims and look bindings up.
type partition struct {
	holder *Holder
	number uint32
	stream string
	// wake holds one token while claims may wait.
	wake chan struct{}

	mu      sync.Mutex
	waiting []*waiter
	stopped bool
	// state is nil until the stream was read. Only the serving goroutine
	// changes it, with mu held.
	state state
	// logDownUntil is when the log is tried again; zero while it answers.
	logDownUntil time.Time
	// busySince is when the batch under way was begun; zero while idle.
	busySince time.Time
	counts    Counts

	// The rest is used by the serving goroutine alone.

	// epoch is that of the last own lease; empty before the first one.
	epoch string
	// renewAt is when the lease record is appended again.
	renewAt time.Time
	// takeoverAt is the earliest next takeover.
	takeoverAt      time.Time
	takeoverBackoff *backoff.ExponentialBackOff
	logBackoff      *backoff.ExponentialBackOff
	// nextBatchAt is when the next batch is due in the long run, see spendBatch.
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

// replyWithoutAppend returns the reply that needs no append, or nil. A binding that was
// read once may be given out at any time, by any reader: it is the one in
// force, or its owner has promised never to run it.
func (p *partition) replyWithoutAppend(r *message.ClaimRequest) *message.ClaimReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.lookup(r); ok {
		return boundReply(b)
	}
	return p.refuseEarly(time.Now())
}

// refuseEarly returns a refusal while the log gives no answers, or nil. The
// caller holds mu.
func (p *partition) refuseEarly(now time.Time) *message.ClaimReply {
	if now.Before(p.logDownUntil) {
		return refuse(CodeLogUnavailable, "log is unavailable", p.logDownUntil)
	}
	if !p.busySince.IsZero() && now.After(p.busySince.Add(slowAfterMillis*time.Millisecond)) {
		return refuse(CodeLogUnavailable, "log is slow", now.Add(retryAfterMillis*time.Millisecond))
	}
	return nil
}

// beginBatch marks a batch as under way, or returns a refusal for its claims.
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

func (p *partition) endBatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busySince = time.Time{}
}

// lookup returns the binding that answers r. A binding up to the one that r
// names as refused does not. The caller holds mu.
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

// signal wakes the serving goroutine.
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

// stop refuses the claims that wait and those that come.
func (p *partition) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	replyAll(p.waiting, refuse(CodeStopping, "entry host is stopping", time.Now()))
	p.waiting = nil
}

// replyAll gives the same reply to all claims.
func replyAll(queue []*waiter, reply *message.ClaimReply) {
	for _, w := range queue {
		w.reply <- reply
	}
}
