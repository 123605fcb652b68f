package engineowner

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// engineIdleMillis is the time without an event after which the engine's
	// stream is reopened. A generation that is stalled for lack of memory resumes
	// on the new stream.
	engineIdleMillis = 3000
	// engineLostMillis is the time for which generate reconnects to an engine that
	// does not answer before it fails the generation. The time starts again at
	// each new token and at each stream that was opened but stayed idle.
	engineLostMillis = 10000
)

var (
	errStreamIdle = errors.Newf("no event on the engine's stream within %d ms", engineIdleMillis)
	errGap        = errors.New("the engine's stream lacks a token")
)

// runJob runs one generation on the engine to its end.
func (o *Owner) runJob(ctx context.Context, j *job) {
	if ctx.Err() != nil {
		// The end of the process has found the job in the backlog, so that it may run elsewhere.
		o.finish(j, resultcode.Leaving, "the process ended before the start")
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !o.registerStop(j, stop) {
		o.finish(j, resultcode.Cancelled, "cancelled before the start")
		return
	}
	code, reason := o.generate(ctx, j)
	o.finish(j, code, reason)
}

// registerStop stores the function by which stopJob cancels the job's run, and adds
// the prefix of its prompt to the cached prefixes. It returns false if the job has
// been stopped already.
func (o *Owner) registerStop(j *job, stop context.CancelFunc) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j.stop = stop
	o.prefixes.touch(j.request.PrefixHash)
	return j.stopCode == 0
}

// generate reads the engine's stream to its end and returns the result of the
// generation. When the stream breaks, delivers no event for engineIdleMillis or
// skips a token, generate reopens it at the current position.
func (o *Owner) generate(ctx context.Context, j *job) (resultcode.Code, string) {
	run := &run{owner: o, job: j}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 50 * time.Millisecond
	delays.MaxInterval = time.Second
	lostAt := time.Now().Add(engineLostMillis * time.Millisecond)
	for {
		before := run.position
		finished, err := run.attach(ctx)
		if err == nil {
			return resultOf(finished)
		}
		if ctx.Err() != nil {
			return o.stopped(j)
		}
		if errors.Is(err, engine.ErrRefused) {
			return run.refused(err)
		}
		o.Log.Warn("engine stream failed", "Request", j.request.ID, "Position", run.position, "Cause", err)
		now := time.Now()
		if run.position > before || errors.Is(err, errStreamIdle) {
			lostAt = now.Add(engineLostMillis * time.Millisecond)
			delays.Reset()
		}
		if now.After(lostAt) {
			j.engineLost = true
			return resultcode.EngineFailed, err.Error()
		}
		wait(ctx, now.Add(delays.NextBackOff()))
	}
}

// stopped returns the result of a job whose context was cancelled.
func (o *Owner) stopped(j *job) (resultcode.Code, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j.stopCode != 0 {
		code := resultcode.Code(j.stopCode)
		return code, code.Info().Text
	}
	return resultcode.DrainCut, "the process ended"
}

// resultOf converts the engine's reason for the end to a result code.
func resultOf(finished engine.Finished) (resultcode.Code, string) {
	switch finished.Reason {
	case engine.ReasonStop:
		return resultcode.OK, ""
	case engine.ReasonLength:
		return resultcode.OKLength, ""
	default:
		return resultcode.EngineFailed, strings.TrimPrefix(finished.Reason, engine.ReasonErrorPrefix)
	}
}

// run is the state of one generation on the engine.
type run struct {
	owner *Owner
	job   *job
	// position is the number of tokens in the replay buffer.
	position int
	// started is set when the engine may have started the generation.
	started bool
	// preemptionRequested is set once preemptFor has been called.
	preemptionRequested bool
	// lastToken is when the latest token was received. It is zero before the first
	// token and after a preemption.
	lastToken time.Time
	// stalledAt is when the engine preempted the generation. It is zero while the
	// generation is not preempted.
	stalledAt time.Time
}

// refused converts a refusal of the engine to a result. If the engine may have
// started the generation before, the refusal means that it has lost the generation.
// Otherwise nothing has run.
func (r *run) refused(err error) (resultcode.Code, string) {
	if !r.started {
		return resultcode.EngineRefused, err.Error()
	}
	r.job.engineLost = true
	return resultcode.EngineFailed, err.Error()
}

// attach opens one stream at the current position and reads it to its end.
func (r *run) attach(ctx context.Context) (engine.Finished, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimeout := func() time.Duration { return time.Until(time.Now().Add(engineIdleMillis * time.Millisecond)) }
	watchdog := time.AfterFunc(idleTimeout(), func() { cancel(errStreamIdle) })
	defer watchdog.Stop()
	request := r.job.request
	if r.started {
		request.ResumeFrom = r.position
	}
	if r.started && r.position == 0 {
		request.ResumeFrom = engine.ResumeFromStart
	}
	stream, err := r.owner.Engine.Generate(ctx, request)
	if err != nil {
		r.started = r.started || !errors.Is(err, engine.ErrRefused)
		return engine.Finished{}, errors.CombineErrors(err, context.Cause(ctx))
	}
	defer func() { _ = stream.Close() }()
	if !r.preemptionRequested {
		r.preemptionRequested = true
		r.owner.preemptFor(ctx, r.job)
	}
	r.started = true
	for {
		event, err := stream.Next()
		if err != nil {
			return engine.Finished{}, errors.CombineErrors(context.Cause(ctx), err)
		}
		watchdog.Reset(idleTimeout())
		finished, err := r.handle(event)
		if err != nil || finished != nil {
			return deref(finished), err
		}
	}
}

func deref(finished *engine.Finished) engine.Finished {
	if finished == nil {
		return engine.Finished{}
	}
	return *finished
}

// handle processes one event. Events of other requests are dropped. It returns the
// end event of this request, or nil.
func (r *run) handle(event engine.Event) (*engine.Finished, error) {
	id := r.job.request.ID
	switch e := event.(type) {
	case engine.Token:
		if e.RequestID != id {
			r.owner.Records.Record(id, explanation.Disturbed{
				Backend: r.owner.Settings.Name,
				Reason:  "the engine sent a token of request " + e.RequestID,
			})
			return nil, nil
		}
		return nil, r.appendToken(e)
	case engine.Preempted:
		if e.RequestID == id {
			r.markPreempted()
		}
	case engine.Resumed:
		if e.RequestID == id {
			r.markResumed()
		}
	case engine.Finished:
		if e.RequestID != id {
			return nil, nil
		}
		if e.Tokens > r.position {
			return nil, errors.Wrapf(errGap, "end at %d, held %d", e.Tokens, r.position)
		}
		return &e, nil
	}
	return nil, nil
}

// appendToken appends a token to the replay buffer. It skips a token that is there
// already and fails with errGap if an earlier one is missing.
func (r *run) appendToken(token engine.Token) error {
	if token.Position < r.position {
		return nil
	}
	err := r.owner.Replay.Append(r.job.request.ID, uint64(token.Position), []string{token.Text})
	if errors.Is(err, replay.ErrGap) {
		return errors.Wrapf(errGap, "token %d, held %d", token.Position, r.position)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	r.position++
	r.owner.recordProgress(r.job, r.position, r.lastToken, now)
	r.lastToken = now
	return nil
}

// markPreempted records that the engine has preempted the generation.
func (r *run) markPreempted() {
	o := r.owner
	r.stalledAt = time.Now()
	r.lastToken = time.Time{}
	o.setPreempted(r.job, true)
	o.Metrics.Preempted(r.job.account, r.job.class)
	o.Records.Record(r.job.request.ID, explanation.Preempted{Reason: "the engine freed memory", Position: uint64(r.position)})
	_ = o.Replay.Progress(r.job.request.ID, message.GenerationState_GENERATION_STATE_PREEMPTED)
}

// markResumed records that the engine has resumed the generation.
func (r *run) markResumed() {
	o := r.owner
	if !r.stalledAt.IsZero() {
		o.Metrics.Stalled(r.job.account, r.job.class, r.stalledAt, time.Now())
	}
	r.stalledAt = time.Time{}
	o.setPreempted(r.job, false)
	o.Records.Record(r.job.request.ID, explanation.Resumed{
		Backend:     o.Settings.Name,
		Incarnation: o.Incarnation,
		Sequence:    r.job.sequence,
		From:        uint64(r.position),
		Reason:      "the engine has memory again",
	})
	_ = o.Replay.Progress(r.job.request.ID, message.GenerationState_GENERATION_STATE_RUNNING)
}

// setPreempted records whether the generation is preempted.
func (o *Owner) setPreempted(j *job, preempted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j.preempted = preempted
	if preempted {
		j.preemptions++
	}
}

// recordProgress passes the number of produced tokens to the admission controller
// and updates the estimate of the time between tokens.
func (o *Owner) recordProgress(j *job, produced int, previous, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !previous.IsZero() {
		o.pace.observe(previous, now)
	}
	if produced == 1 {
		_ = o.Replay.Progress(j.request.ID, message.GenerationState_GENERATION_STATE_RUNNING)
	}
	_ = o.Admission.Progress(j.request.ID, produced)
}

// wait returns at the given time or when ctx ends.
func wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
