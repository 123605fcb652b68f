package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/delivery"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// errGap means that a frame is missing; it is requested again on a new
// connection.
var errGap = errors.New("a frame is missing")

// errSink marks an error of the sink, which could not write to the caller.
var errSink = errors.New("write to the caller failed")

// relay relays the answer of one owner. After a broken path it opens a new
// connection to the same owner and resumes at the first undelivered position.
func (j *job) relay(ctx context.Context) *resultcode.Result {
	ctx, stop := j.withDeadline(ctx)
	defer stop()
	timeout := j.newOwnerTimeout()
	sent := j.resumed
	for {
		before := j.delivery.Next()
		result, err := j.attach(ctx)
		if result != nil {
			return result
		}
		if ctx.Err() != nil || errors.Is(err, errSink) {
			return j.abandon(ctx, sent || !errors.Is(err, transport.ErrDial))
		}
		j.recordDisturbed(err.Error())
		if !errors.Is(err, transport.ErrDial) {
			sent = true
			j.notePossibleRun(j.brokenPath(err))
		}
		if j.delivery.Next() > before {
			timeout = j.newOwnerTimeout()
		}
		timeout.observe(err, time.Now())
		if lost := j.checkReconnect(sent, timeout, err); lost != nil {
			return lost
		}
		waitUntil(ctx, time.Now().Add(reconnectPauseMillis*time.Millisecond))
	}
}

// checkReconnect returns the result of the attempt after a broken path, or nil if
// a new connection to the same owner is to be opened.
func (j *job) checkReconnect(sent bool, timeout ownerTimeout, cause error) *resultcode.Result {
	now := time.Now()
	j.Picker.Unreachable(j.target, now)
	if !sent && j.permit == nil {
		return j.notReached(cause, now)
	}
	// If another generation can replace this one, an owner that can't be dialled is
	// not waited for.
	replaceable := j.request.Repeatable && !j.resumed && (j.delivery.Next() == 0 || j.request.Whole)
	if replaceable && errors.Is(cause, transport.ErrDial) {
		return resultcode.New(resultcode.OwnerSilent, "%s is gone: %v", j.target.Backend, cause)
	}
	if !timeout.expired(now) {
		return nil
	}
	if j.delivery.Next() > 0 {
		return resultcode.New(resultcode.GenerationLost, "%s does not answer: %v", j.target.Backend, cause)
	}
	return j.silent(cause, now)
}

// withDeadline returns a context that ends at the caller's deadline.
func (j *job) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if j.request.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, j.request.Deadline)
}

// abandon ends a request whose caller disconnected, whose deadline passed or which the
// end of the process cuts. sent reports whether the owner may have received it. A caller
// may resume on another entry host, so only a passed deadline cancels the generation.
func (j *job) abandon(ctx context.Context, sent bool) *resultcode.Result {
	if transport.Stopped(ctx) {
		return j.stopped(sent)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return resultcode.New(resultcode.Cancelled, "the caller went away")
	}
	j.cancel(context.WithoutCancel(ctx))
	return resultcode.New(resultcode.DeadlineCut, "the deadline passed after %d tokens", j.delivery.Next())
}

// cancel cancels the generation at its owner. It is best effort.
func (j *job) cancel(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(cancelTimeoutMillis*time.Millisecond))
	defer stop()
	request := &message.CancelRequest{RequestId: j.request.ID, Generation: j.generationMessage()}
	_, err := transport.Call(ctx, j.target.PeerAddress,
		func(ctx context.Context, conn drpc.Conn) (*message.CancelReply, error) {
			return message.NewDRPCBackendClient(conn).Cancel(ctx, request)
		})
	if err != nil {
		j.recordDisturbed("not cancelled: " + err.Error())
	}
}

// attach opens one connection and relays the answer until it ends or the path
// breaks. It returns either the result or the cause of the broken path.
func (j *job) attach(ctx context.Context) (*resultcode.Result, error) {
	ctx, watch := j.withWatchdog(ctx)
	defer watch.stop()
	conn, err := transport.DialHeld(ctx, j.target.PeerAddress, j.Memory)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	j.connectedAt = time.Now()
	stream, err := message.NewDRPCBackendClient(conn).Generate(ctx, j.generateRequest())
	if err != nil {
		return nil, errors.CombineErrors(context.Cause(ctx), err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, errors.CombineErrors(context.Cause(ctx), err)
		}
		watch.extend()
		result, err := j.handleFrame(frame)
		if result != nil || err != nil {
			return result, err
		}
	}
}

// generationMessage returns the bound generation, or nil before the first frame.
func (j *job) generationMessage() *message.Generation {
	generation := j.delivery.Generation()
	if generation.IsZero() {
		return nil
	}
	return generation.Message()
}

func (j *job) generateRequest() *message.GenerateRequest {
	return &message.GenerateRequest{
		RequestId:         j.request.ID,
		Account:           j.request.Account,
		Class:             j.request.Class,
		Service:           j.request.Service,
		Model:             j.request.Model,
		Prompt:            j.request.Prompt,
		MaxTokens:         j.request.MaxTokens,
		DeadlineUnixNanos: deadlineNanos(j.request.Deadline),
		FromPosition:      j.delivery.Next(),
		Attach:            j.generationMessage(),
		Repeatable:        j.request.Repeatable,
		Permit:            j.permit,
		Whole:             j.request.Whole,
		ConfigVersion:     j.ConfigVersion(),
		Asker:             j.Address,
	}
}

// handleFrame handles one frame. A result ends the attempt; an error breaks the
// path. If both are nil, the relay continues.
func (j *job) handleFrame(frame *message.Frame) (*resultcode.Result, error) {
	if load := frame.GetLoad(); load != nil {
		j.Picker.Observe(load, j.connectedAt, time.Now())
	}
	bound := !j.delivery.Generation().IsZero()
	step := j.delivery.Accept(frame)
	if !bound && !j.delivery.Generation().IsZero() {
		j.sink.Begin(j.resumeToken())
	}
	switch s := step.(type) {
	case delivery.Deliver:
		return nil, errors.Mark(j.sink.Tokens(s.Position, s.Text), errSink)
	case delivery.Alive:
		return nil, errors.Mark(j.sink.Alive(s.State), errSink)
	case delivery.Gap:
		return nil, errors.Wrapf(errGap, "position %d", s.From)
	case delivery.Rejected:
		j.Metrics.CountRejectedFrame(s.Reason.String())
		j.recordDisturbed("frame rejected: " + s.Reason.String())
		return nil, nil
	case delivery.Refused:
		return j.handleRefusal(s, frame), nil
	case delivery.Ended:
		return resultcode.New(resultcode.Code(s.Code), "%s", s.Reason), nil
	default:
		return nil, nil
	}
}

func (j *job) handleRefusal(refusal delivery.Refused, frame *message.Frame) *resultcode.Result {
	result := resultcode.New(resultcode.Code(refusal.Code), "%s", refusal.Reason).
		WithRetryAt(timeFromNanos(refusal.RetryAtUnixNanos))
	j.recordDisturbed("refused: " + result.Error())
	j.Picker.Refused(j.selection(), j.target, result, time.Now())
	// The owner no longer holds a generation of which tokens were delivered, so the
	// rest of the answer is lost.
	if result.Code == resultcode.NotHeld && j.delivery.Next() > 0 {
		return resultcode.New(resultcode.GenerationLost, "%s", refusal.Reason)
	}
	return j.resultAfterRefusal(result, frame.GetGeneration().GetIncarnation(), frame.GetRefusal().GetRecorded())
}

func (j *job) resumeToken() resumetoken.Token {
	generation := j.delivery.Generation()
	return resumetoken.Token{
		RequestID:   j.request.ID,
		Account:     j.request.Account,
		Backend:     generation.Backend,
		PeerAddress: j.target.PeerAddress,
		Incarnation: generation.Incarnation,
		Sequence:    generation.Sequence,
	}
}

// waitUntil waits until the given time or until ctx ends.
func waitUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
