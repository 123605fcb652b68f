package engineowner

import (
	"context"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// engineCancelMillis is the timeout of a cancellation at the engine.
const engineCancelMillis = 1000

// finish ends an open generation and releases its memory and batch slot in the
// admission controller. Only the first call for a job has an effect.
func (o *Owner) finish(j *job, code resultcode.Code, reason string) {
	id := j.request.ID
	if !o.removeJob(j) {
		return
	}
	o.noteOutcome(j, code)
	now := time.Now()
	evictAt := now.Add(time.Duration(o.Settings.HoldSeconds) * time.Second)
	entry, _ := o.Replay.Find(id)
	if err := o.Replay.Finish(id, uint32(code), reason, evictAt); err != nil {
		o.Log.Error("end of the generation not recorded in the replay buffer", "Request", id, "Cause", err)
	}
	o.Records.Record(id, explanation.Ended{
		Code:    uint32(code),
		Outcome: string(code.Info().Outcome),
		Reason:  reason,
		Tokens:  entry.Position,
	})
	o.mu.Lock()
	o.Admission.Release(id)
	if code == resultcode.OK {
		o.Admission.Lengths.Observe(j.class, j.account, int(entry.Position))
	}
	o.Admission.SetStep(max(1, int(o.pace.micros)))
	o.mu.Unlock()
	o.startNext(now)
}

// noteOutcome records a generation that the engine lost before its first token, or one that shows
// that nothing in its request crashes the engine.
func (o *Owner) noteOutcome(j *job, code resultcode.Code) {
	entry, _ := o.Replay.Find(j.request.ID)
	switch {
	case entry.Position > 0 || code == resultcode.OK || code == resultcode.OKLength:
		o.Crashes.Answer(j.content)
	case j.engineLost:
		o.Crashes.Lose(j.request.ID, j.content, 0)
	}
}

// removeJob removes the job from the open jobs. It returns false if the job has
// ended already.
func (o *Owner) removeJob(j *job) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[j.request.ID] != j {
		return false
	}
	delete(o.jobs, j.request.ID)
	return true
}

// expire ends the waiting requests that can't meet their deadline, and stops the
// generations that are abandoned or past their deadline.
func (o *Owner) expire(ctx context.Context, now time.Time) {
	o.mu.Lock()
	var late []*job
	for _, refusal := range o.Admission.Expire(now) {
		if j, open := o.jobs[refusal.RequestID]; open {
			late = append(late, j)
		}
	}
	var stale []*job
	for _, j := range o.jobs {
		if j.abandoned(now) || j.overdue(now) {
			stale = append(stale, j)
		}
	}
	o.mu.Unlock()
	for _, j := range late {
		o.finish(j, resultcode.DeadlinePassed, "the deadline can't be met")
	}
	for _, j := range stale {
		code := resultcode.Cancelled
		if j.overdue(now) {
			code = resultcode.DeadlineCut
		}
		o.stopJob(ctx, j.request.ID, code)
	}
}

// refuseWaiting ends the admission of requests, and refuses those that wait. Nothing of
// them has run, so they may run at another backend server.
func (o *Owner) refuseWaiting() {
	o.mu.Lock()
	o.leaving.Store(true)
	o.ending = true
	var waiting []*job
	for _, j := range o.jobs {
		if !j.running {
			waiting = append(waiting, j)
		}
	}
	o.mu.Unlock()
	for _, j := range waiting {
		o.finish(j, resultcode.Leaving, "the process ended before the start")
	}
}

// abandoned reports whether an idempotent generation has had no reader for
// abandonedAfterSeconds.
func (j *job) abandoned(now time.Time) bool {
	if !j.repeatable || j.readers > 0 || j.abandonedAt.IsZero() {
		return false
	}
	return now.After(j.abandonedAt.Add(abandonedAfterSeconds * time.Second))
}

// overdue reports whether the caller's deadline has passed.
func (j *job) overdue(now time.Time) bool {
	return !j.deadline.IsZero() && now.After(j.deadline)
}

// Cancel stops a generation for its client, unless another client reads it too.
func (o *Owner) Cancel(ctx context.Context, in *message.CancelRequest) (*message.CancelReply, error) {
	if g := in.GetGeneration(); g != nil && g.GetIncarnation() != o.Incarnation {
		return &message.CancelReply{}, nil
	}
	if o.shared(in.GetRequestId()) {
		return &message.CancelReply{}, nil
	}
	o.stopJob(ctx, in.GetRequestId(), resultcode.Cancelled)
	return &message.CancelReply{}, nil
}

// shared reports whether more than one client reads the generation. This happens
// when two callers send the same idempotency key.
func (o *Owner) shared(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, open := o.jobs[id]
	return open && j.readers > 1
}

// stopJob stops a waiting or running job, and cancels a running one at the engine.
func (o *Owner) stopJob(ctx context.Context, id string, code resultcode.Code) {
	o.mu.Lock()
	j, open := o.jobs[id]
	if !open || j.stopCode != 0 {
		o.mu.Unlock()
		return
	}
	j.stopCode = uint32(code)
	running := j.running
	stop := j.stop
	o.mu.Unlock()
	if !running {
		o.finish(j, code, code.Info().Text)
		return
	}
	if stop == nil {
		// The run has not begun, and it never will: registerStop checks stopCode.
		return
	}
	stop()
	ctx, done := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(engineCancelMillis*time.Millisecond))
	defer done()
	if err := o.Engine.Cancel(ctx, id); err != nil {
		o.Log.Warn("generation not cancelled at the engine", "Request", id, "Cause", err)
	}
}
