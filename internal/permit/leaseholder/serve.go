package leaseholder

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

// maxBatchClaims limits the claims of one batch.
const maxBatchClaims = 1024

// batchBurst is the number of batches that may be sent ahead of the long-term rate
// of one batch per batch delay.
const batchBurst = 4

// run serves batches until ctx is canceled. When the partition is idle, a batch
// starts immediately. Claims that arrive while a batch is in progress form the next
// one.
func (p *partition) run(ctx context.Context) error {
	defer p.stop()
	window := time.Duration(p.holder.keyWindowSeconds()) * time.Second
	idle := time.NewTimer(window)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			p.release()
			continue
		case <-p.wake:
			idle.Reset(window)
		}
		delay := p.holder.batchDelay()
		if !sleepUntil(ctx, p.nextBatchAt.Add(-batchBurst*delay)) {
			return nil
		}
		p.serve(ctx, p.takeBatch())
	}
}

// release frees the state of a partition that had no claims for a key window. The
// stream is read again when it is needed.
func (p *partition) release() {
	p.epoch = ""
	p.setState(nil)
}

// serve replies to every claim of the queue.
func (p *partition) serve(ctx context.Context, queue []*waiter) {
	if len(queue) == 0 {
		return
	}
	if refusal := p.beginBatch(time.Now()); refusal != nil {
		replyAll(queue, refusal)
		return
	}
	defer p.endBatch()
	if refusal := p.ensureLease(ctx); refusal != nil {
		replyAll(queue, refusal)
		return
	}
	queue = p.replyBound(queue)
	batch := p.newBatch(queue)
	if len(batch.Claims)+len(batch.Rebinds) == 0 {
		return
	}
	p.scheduleNextBatch(time.Now())
	if err := p.commit(ctx, batch); err != nil {
		p.refuseFailed(ctx, queue, err)
		return
	}
	p.resetLogBackoff()
	for _, w := range p.replyBound(queue) {
		w.reply <- p.refuseUnbound(w.request.GetKey())
	}
}

// scheduleNextBatch counts a batch against the rate limit: one batch per batch delay
// in the long term, with up to batchBurst batches ahead of that.
func (p *partition) scheduleNextBatch(now time.Time) {
	if p.nextBatchAt.Before(now) {
		p.nextBatchAt = now
	}
	p.nextBatchAt = p.nextBatchAt.Add(p.holder.batchDelay())
}

// replyBound replies to the claims whose keys are bound and returns the others.
func (p *partition) replyBound(queue []*waiter) []*waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unbound []*waiter
	for _, w := range queue {
		if b, ok := p.lookup(w.request); ok {
			w.reply <- boundReply(b)
			continue
		}
		unbound = append(unbound, w)
	}
	return unbound
}

// newBatch returns a batch with one claim or rebind for each key. It leaves out
// claims whose requester no longer waits.
func (p *partition) newBatch(queue []*waiter) claim.Batch {
	b := claim.Batch{Epoch: p.epoch, ID: newToken()}
	seen := make(map[string]bool, len(queue))
	for _, w := range queue {
		r := w.request
		if seen[r.GetKey()] || w.ctx.Err() != nil {
			continue
		}
		seen[r.GetKey()] = true
		c := claim.Claim{
			Key:         r.GetKey(),
			RequestID:   r.GetRequestId(),
			Backend:     r.GetBackend(),
			Incarnation: r.GetIncarnation(),
		}
		if refused := r.GetRefused(); refused != nil {
			b.Rebinds = append(b.Rebinds, claim.Rebind{Claim: c, Refused: refused.GetOffset()})
			continue
		}
		b.Claims = append(b.Claims, c)
	}
	return b
}

// commit appends the batch and reads it back. It returns nil if the batch was read
// back, whether it was accepted or not.
func (p *partition) commit(ctx context.Context, b claim.Batch) error {
	data, err := claim.Encode(b)
	if err != nil {
		return err
	}
	return p.appendAndReadBack(ctx, data, func(r claim.Record) bool {
		read, ok := r.(claim.Batch)
		return ok && read.ID == b.ID
	})
}

// refuseFailed refuses the claims of a batch that failed with err.
func (p *partition) refuseFailed(ctx context.Context, queue []*waiter, err error) {
	code := CodeClaimUnknown
	if certainlyNotAppended(err) {
		code = CodeLogUnavailable
	}
	until := p.backOffLog(ctx, err)
	replyAll(queue, refuse(code, "log did not take the claim", until))
}

// certainlyNotAppended reports whether an error of the log rules out that the record
// was appended.
func certainlyNotAppended(err error) bool {
	if errors.Is(err, errReadBack) {
		return false
	}
	return errors.Is(err, journal.ErrThrottled) || errors.Is(err, journal.ErrRefused)
}

// newToken returns a random token that is unique within a stream.
func newToken() string {
	id := uuid.New()
	return hex.EncodeToString(id[8:])
}

// sleepUntil waits until t or until ctx is done. It reports whether ctx is not done.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
