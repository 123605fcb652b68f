package keeper

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// engineCancelMillis bounds a cancellation at the engine.
const engineCancelMillis = 1000

// finish ends an open generation and frees its place. The first end counts.
func (k *Keeper) finish(j *job, code receipt.Code, reason string) {
	id := j.request.ID
	if !k.close(j) {
		return
	}
	now := time.Now()
	evictAt := now.Add(time.Duration(k.Settings.HoldSeconds) * time.Second)
	entry, _ := k.Logbook.Find(id)
	if err := k.Logbook.Finish(id, uint32(code), reason, evictAt); err != nil {
		k.Log.Error("generation could not be ended", "Request", id, "Cause", err)
	}
	k.Records.Record(id, explanation.Ended{
		Code:    uint32(code),
		Outcome: string(code.Info().Outcome),
		Reason:  reason,
		Tokens:  entry.Position,
	})
	k.mu.Lock()
	k.Book.Release(id)
	if code == receipt.OK {
		k.Book.Lengths.Observe(j.class, j.account, int(entry.Position))
	}
	k.Book.SetStep(max(1, int(k.pace.micros)))
	k.mu.Unlock()
	k.startNext(now)
}

// close takes the job off the open ones. It returns false when it was ended
// already.
func (k *Keeper) close(j *job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs[j.request.ID] != j {
		return false
	}
	delete(k.jobs, j.request.ID)
	return true
}

// expire ends the waiting requests that can't make their deadline and the
// generations that nobody waits for.
func (k *Keeper) expire(ctx context.Context, now time.Time) {
	k.mu.Lock()
	var late []*job
	for _, refusal := range k.Book.Expire(now) {
		if j, open := k.jobs[refusal.RequestID]; open {
			late = append(late, j)
		}
	}
	var gone []*job
	for _, j := range k.jobs {
		if j.abandoned(now) || j.overdue(now) {
			gone = append(gone, j)
		}
	}
	k.mu.Unlock()
	for _, j := range late {
		k.finish(j, receipt.DeadlinePassed, "the deadline can't be met")
	}
	for _, j := range gone {
		code := receipt.Cancelled
		if j.overdue(now) {
			code = receipt.DeadlineCut
		}
		k.stopJob(ctx, j.request.ID, code)
	}
}

// abandoned tells whether a repeatable generation has had no reader for long.
func (j *job) abandoned(now time.Time) bool {
	if !j.repeatable || j.readers > 0 || j.abandonedAt.IsZero() {
		return false
	}
	return now.After(j.abandonedAt.Add(abandonedSeconds * time.Second))
}

// overdue tells whether the caller's deadline has passed.
func (j *job) overdue(now time.Time) bool {
	return !j.deadline.IsZero() && now.After(j.deadline)
}

// Cancel stops a generation that nobody waits for any longer.
func (k *Keeper) Cancel(ctx context.Context, in *message.CancelRequest) (*message.CancelReply, error) {
	if g := in.GetGeneration(); g != nil && g.GetIncarnation() != k.Incarnation {
		return &message.CancelReply{}, nil
	}
	if k.shared(in.GetRequestId()) {
		return &message.CancelReply{}, nil
	}
	k.stopJob(ctx, in.GetRequestId(), receipt.Cancelled)
	return &message.CancelReply{}, nil
}

// shared tells whether another caller reads the generation: two may have come
// with the same idempotency key.
func (k *Keeper) shared(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	j, open := k.jobs[id]
	return open && j.readers > 1
}

// stopJob stops a job, waiting or running, and frees it at the engine.
func (k *Keeper) stopJob(ctx context.Context, id string, code receipt.Code) {
	k.mu.Lock()
	j, open := k.jobs[id]
	if !open || j.stopCode != 0 {
		k.mu.Unlock()
		return
	}
	j.stopCode = uint32(code)
	running := j.running
	stop := j.stop
	k.mu.Unlock()
	if !running {
		k.finish(j, code, code.Info().Text)
		return
	}
	if stop == nil {
		return
	}
	stop()
	ctx, done := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(engineCancelMillis*time.Millisecond))
	defer done()
	if err := k.Engine.Cancel(ctx, id); err != nil {
		k.Log.Warn("generation not cancelled at the engine", "Request", id, "Cause", err)
	}
}
