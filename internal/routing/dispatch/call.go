package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// defaultCallMillis bounds a call of a plain service whose caller set no deadline.
const defaultCallMillis = 10000

// Call runs one request against a plain service to its final result.
func (r *Runner) Call(ctx context.Context, call Call) (Reply, *resultcode.Result) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(defaultCallMillis * time.Millisecond)
	}
	journey := &job{
		Runner: r,
		request: Request{
			ID:         call.ID,
			Account:    call.Account,
			Class:      call.Class,
			Service:    call.Service,
			Deadline:   call.Deadline,
			Key:        call.Key,
			Repeatable: call.Repeatable,
			Urgent:     call.Urgent,
		},
		delivery: &delivery.Delivery{RequestID: call.ID},
		refused:  make(map[string]bool),
	}
	reply, result := journey.call(ctx, call)
	result = journey.keepUnknown(result)
	journey.finish(result)
	return reply, result
}

// call asks backend servers until one answers.
func (j *job) call(ctx context.Context, call Call) (Reply, *resultcode.Result) {
	for {
		if result := j.checkEnded(ctx); result != nil {
			return Reply{}, result
		}
		if result := j.pickOwner(ctx); result != nil && !j.mayReuseOwner(result) {
			return Reply{}, result
		}
		reply, result := j.callOwner(ctx, call)
		if final := j.prepareRetry(ctx, result); final != nil {
			return reply, final
		}
	}
}

// mayReuseOwner tells whether the same owner is asked on a fresh connection: no other
// one is left, and the last connection fell silent.
func (j *job) mayReuseOwner(result *resultcode.Result) bool {
	return j.request.Repeatable && j.lastRefusal != nil && result.Code == resultcode.OwnerSilent
}

// callOwner sends the call to the target. A call whose reply was lost is asked
// again by request identity where it may not be repeated elsewhere.
func (j *job) callOwner(ctx context.Context, call Call) (Reply, *resultcode.Result) {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	silence := j.newOwnerTimeout()
	sent := false
	for {
		askedAt := time.Now()
		reply, err := j.send(ctx, call)
		if err == nil {
			return j.handleReply(reply, askedAt)
		}
		if ctx.Err() != nil {
			return Reply{}, j.interruptedCall(ctx, sent)
		}
		if !errors.Is(err, transport.ErrDial) {
			sent = true
			j.notePossibleRun(j.brokenPath(err))
		}
		j.recordDisturbed(err.Error())
		now := time.Now()
		silence.observe(err, now)
		j.Picker.Unreachable(j.target, now)
		if !sent && j.permit == nil {
			return Reply{}, resultcode.New(resultcode.NoBackend, "%s was not reached: %v", j.target.Backend, err).
				WithRetryAt(now.Add(time.Second))
		}
		if j.request.Repeatable || silence.expired(now) {
			return Reply{}, resultcode.New(resultcode.OwnerSilent, "%s does not answer: %v", j.target.Backend, err).
				WithRetryAt(now.Add(time.Second))
		}
		waitUntil(ctx, now.Add(reconnectPauseMillis*time.Millisecond))
	}
}

// interruptedCall is the result of a call whose caller or deadline ended it.
func (j *job) interruptedCall(ctx context.Context, sent bool) *resultcode.Result {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultcode.New(resultcode.Cancelled, "the caller went away")
	case sent:
		return resultcode.New(resultcode.DeadlineCut, "the deadline passed without a reply of %s", j.target.Backend)
	default:
		return resultcode.New(resultcode.OwnerSilent, "the deadline passed before %s was reached", j.target.Backend)
	}
}

// send opens one connection and waits for the reply while heartbeats come.
func (j *job) send(ctx context.Context, call Call) (*message.CallReply, error) {
	ctx, watch := j.withWatchdog(ctx)
	defer watch.stop()
	conn, err := transport.Dial(ctx, j.target.PeerAddress)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := message.NewDRPCBackendClient(conn).Call(ctx, j.callRequest(call))
	if err != nil {
		return nil, errors.CombineErrors(context.Cause(ctx), err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, errors.CombineErrors(context.Cause(ctx), err)
		}
		watch.extend()
		if reply := frame.GetReply(); reply != nil {
			return reply, nil
		}
	}
}

func (j *job) callRequest(call Call) *message.CallRequest {
	return &message.CallRequest{
		RequestId:         j.request.ID,
		Account:           call.Account,
		Class:             call.Class,
		Service:           call.Service,
		Method:            call.Method,
		Path:              call.Path,
		Body:              call.Body,
		DeadlineUnixNanos: deadlineNanos(call.Deadline),
		Permit:            j.permit,
		Repeatable:        call.Repeatable,
		ConfigVersion:     j.ConfigVersion(),
		Asker:             j.Address,
	}
}

func (j *job) handleReply(reply *message.CallReply, askedAt time.Time) (Reply, *resultcode.Result) {
	if load := reply.GetLoad(); load != nil {
		j.Picker.Observe(load, askedAt, time.Now())
	}
	if reply.GetCode() != 0 {
		result := resultcode.New(resultcode.Code(reply.GetCode()), "%s", reply.GetReason()).
			WithRetryAt(timeFromNanos(reply.GetRetryAtUnixNanos()))
		j.recordDisturbed("refused: " + result.Error())
		j.Picker.Refused(j.selection(), j.target, result, time.Now())
		return Reply{}, j.resultAfterRefusal(result, reply.GetLoad().GetIncarnation(), reply.GetRecorded())
	}
	return Reply{
		Status:      int(reply.GetHttpStatus()),
		ContentType: reply.GetContentType(),
		Body:        reply.GetBody(),
		Backend:     j.target.Backend,
		RequestID:   j.request.ID,
	}, resultcode.New(resultcode.OK, "%s answered", j.target.Backend)
}
