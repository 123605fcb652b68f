package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// defaultCallMillis is the timeout of a call to a plain service whose caller set
// no deadline.
const defaultCallMillis = 10000

// Call sends one request to a plain service and returns its final result.
func (r *Runner) Call(ctx context.Context, call Call) (Reply, *resultcode.Result) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(defaultCallMillis * time.Millisecond)
	}
	j := &job{
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
		traits:   quarantine.CallContent(call.Account, call.Service, call.Method, call.Path, call.Body).Traits(),
	}
	reply, result := j.call(ctx, call)
	result = j.keepUnknown(result)
	// A server that fails requests on its own answers with such a status, too.
	if reply.Status < http.StatusInternalServerError {
		j.noteAnswer(result)
	}
	j.finish(result)
	return reply, result
}

// call sends the request to one backend server after another until one answers
// or the result is final.
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

// mayReuseOwner reports whether the call is sent to the same owner again on a new
// connection. That is the case for an idempotent call if the last owner did not
// answer and there is no other one. The result is that of pickOwner.
func (j *job) mayReuseOwner(result *resultcode.Result) bool {
	return j.request.Repeatable && j.lastFailure != nil && result.Code == resultcode.OwnerSilent
}

// callOwner sends the call to the target. If the reply of a non-idempotent call is
// lost, it sends the same request ID to the same target again, since the call must
// not run elsewhere.
func (j *job) callOwner(ctx context.Context, call Call) (Reply, *resultcode.Result) {
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	timeout := j.newOwnerTimeout()
	sent := false
	for {
		sentAt := time.Now()
		reply, err := j.send(ctx, call)
		if err == nil {
			return j.handleReply(reply, sentAt)
		}
		if ctx.Err() != nil {
			return Reply{}, j.interruptedCall(ctx, sent || !errors.Is(err, transport.ErrDial))
		}
		if !errors.Is(err, transport.ErrDial) {
			sent = true
			j.notePossibleRun(j.brokenPath(err))
		}
		j.recordDisturbed(err.Error())
		now := time.Now()
		timeout.observe(err, now)
		j.Picker.Unreachable(j.target, now)
		if !sent && j.permit == nil {
			return Reply{}, j.notReached(err, now)
		}
		if j.request.Repeatable || timeout.expired(now) {
			return Reply{}, j.silent(err, now)
		}
		waitUntil(ctx, now.Add(reconnectPauseMillis*time.Millisecond))
	}
}

// interruptedCall returns the result of a call that ended because the caller
// disconnected, the deadline passed or the process ends. sent reports whether the owner
// may have received it.
func (j *job) interruptedCall(ctx context.Context, sent bool) *resultcode.Result {
	switch {
	case transport.Stopped(ctx):
		return j.stopped(sent)
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultcode.New(resultcode.Cancelled, "the caller went away")
	case sent:
		return resultcode.New(resultcode.DeadlineCut, "the deadline passed without a reply of %s", j.target.Backend)
	default:
		return resultcode.New(resultcode.OwnerSilent, "the deadline passed before %s was reached", j.target.Backend)
	}
}

// send opens one connection and waits for the reply for as long as heartbeats
// arrive before each progress deadline.
func (j *job) send(ctx context.Context, call Call) (*message.CallReply, error) {
	ctx, watch := j.withWatchdog(ctx)
	defer watch.stop()
	conn, err := transport.DialHeld(ctx, j.target.PeerAddress, j.Memory)
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

func (j *job) handleReply(reply *message.CallReply, sentAt time.Time) (Reply, *resultcode.Result) {
	if load := reply.GetLoad(); load != nil {
		j.Picker.Observe(load, sentAt, time.Now())
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
