// Package serviceowner serves the calls of one plain service, which is a backend
// server without a model engine. It runs in the process beside that server, the
// owner, which is the server's only client. Owner handles the calls of the entry
// hosts. It runs each non-idempotent call at most once and keeps the reply for
// retries of the call.
package serviceowner

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/background"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Service is the plain service.
type Service interface {
	Call(context.Context, plainservice.Request) (plainservice.Reply, error)
}

const (
	// evictMillis is the period at which expired entries are evicted from the replay
	// buffer.
	evictMillis = 1000
	// defaultRunMillis is the timeout of a call without a deadline.
	defaultRunMillis = 30000
)

// Owner runs the calls of one plain service, of which it is the only client. Its
// exported fields must be set before Prepare. It is safe for concurrent use.
type Owner struct {
	Settings      process.Backend
	PermitChecker *permitcheck.Checker
	Replay        *replay.Buffer
	Service       Service
	// ConfigVersion returns the version of the operator file in force.
	ConfigVersion func() uint64
	// VersionSeen is called with the configuration version of each client and its
	// peer address.
	VersionSeen func(version uint64, address string)
	// Crashes holds what the service's crashes had in common.
	Crashes *crashreport.Reports
	Records explanation.Writer
	Log     *slog.Logger

	leaving atomic.Bool
	// running is the number of calls that occupy one of the MaxRunning slots.
	running atomic.Int64
	clients permitcheck.Clients
	// background runs the non-idempotent calls, which continue when the connection
	// that started them breaks. Idempotent calls end with it.
	background background.Group
}

// Prepare initialises the state that the handlers need. It must be called once,
// before Run and before the first call is served.
func (o *Owner) Prepare() {
	o.background.Backlog = o.Settings.MaxRunning
	o.background.Prepare()
}

// Run runs submitted calls and evicts expired replies until ctx ends. Calls that are
// still open then end with DrainCut.
func (o *Owner) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, o.Leave)()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.evict(ctx) })
	group.Go(func() error { return o.background.Run(ctx) })
	return errors.Wrap(group.Wait(), "run service owner")
}

func (o *Owner) evict(ctx context.Context) error {
	ticker := time.NewTicker(evictMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			o.Replay.Evict(now)
		}
	}
}

// Call runs one call, or returns the stored reply if this incarnation has run the
// same request already. It sends heartbeats meanwhile, so that the client can detect
// a broken connection.
func (o *Owner) Call(in *message.CallRequest, out message.DRPCBackend_CallStream) error {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.clients.Serve(out.Context(), func() error { return o.answer(in, out) })
}

// answer computes the reply and sends it, with heartbeats before it.
func (o *Owner) answer(in *message.CallRequest, out message.DRPCBackend_CallStream) error {
	group, ctx := errgroup.WithContext(out.Context())
	replied := make(chan *message.CallReply, 1)
	group.Go(func() error {
		replied <- o.reply(ctx, in)
		return nil
	})
	group.Go(func() error { return o.send(ctx, out, replied) })
	return group.Wait()
}

// send sends heartbeats until the reply is available, and then the reply.
func (o *Owner) send(ctx context.Context, out message.DRPCBackend_CallStream, replied <-chan *message.CallReply) error {
	ticker := time.NewTicker(time.Duration(o.Settings.HeartbeatMillis) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case reply := <-replied:
			return out.Send(&message.CallFrame{Body: &message.CallFrame_Reply{Reply: reply}})
		case <-ticker.C:
			if err := out.Send(heartbeat()); err != nil {
				return err
			}
		}
	}
}

func heartbeat() *message.CallFrame {
	running := &message.Heartbeat{State: message.GenerationState_GENERATION_STATE_RUNNING}
	return &message.CallFrame{Body: &message.CallFrame_Heartbeat{Heartbeat: running}}
}

// reply returns the reply of one call, or its refusal in the form of a reply.
func (o *Owner) reply(ctx context.Context, in *message.CallRequest) *message.CallReply {
	reply, refusal := o.call(ctx, in)
	if refusal != nil {
		o.Records.Record(in.GetRequestId(), refusal.Record())
		reply = &message.CallReply{
			Code:             uint32(refusal.Code),
			Reason:           refusal.Reason,
			RetryAtUnixNanos: permitcheck.NanosOf(refusal.RetryAt),
			Recorded:         refusal.Recorded,
		}
	}
	reply.Load = o.Load()
	return reply
}

// call runs an idempotent call directly. It runs a non-idempotent call in the
// background, unless the replay buffer holds its ID already, and returns the reply
// that is stored there.
func (o *Owner) call(ctx context.Context, in *message.CallRequest) (*message.CallReply, *resultcode.Result) {
	if in.GetRepeatable() {
		return o.callRepeatable(ctx, in)
	}
	if _, held := o.Replay.Find(in.GetRequestId()); !held {
		if refusal := o.admit(in, time.Now()); refusal != nil {
			return nil, refusal
		}
	}
	return o.awaitReply(ctx, in.GetRequestId())
}

// callRepeatable runs an idempotent call, which needs no entry in the replay buffer.
func (o *Owner) callRepeatable(ctx context.Context, in *message.CallRequest) (*message.CallReply, *resultcode.Result) {
	if refusal := o.acquireSlot(time.Now()); refusal != nil {
		return nil, refusal
	}
	defer o.running.Add(-1)
	ctx, stop := o.background.Bind(ctx)
	defer stop()
	reply, err := o.callService(ctx, in)
	if err != nil {
		return nil, failure(ctx, err)
	}
	return replyOf(reply), nil
}

// errReplyTooLarge means that the body of a reply does not fit into a message.
var errReplyTooLarge = errors.Newf("the reply is over %d bytes", transport.MaxBodyBytes)

// callService calls the plain service.
func (o *Owner) callService(ctx context.Context, in *message.CallRequest) (plainservice.Reply, error) {
	sentAt := boottime.Now()
	reply, err := o.Service.Call(ctx, requestOf(in))
	o.noteOutcome(ctx, in, sentAt, reply, err)
	if err == nil && len(reply.Body) > transport.MaxBodyBytes {
		return plainservice.Reply{}, errReplyTooLarge
	}
	return reply, err
}

// noteOutcome records a call whose reply was lost as the connection to the service broke, or one
// that shows that nothing in it crashes the service.
func (o *Owner) noteOutcome(ctx context.Context, in *message.CallRequest, sentAt boottime.Instant, reply plainservice.Reply, err error) {
	content := quarantine.CallContent(in.GetAccount(), in.GetService(), in.GetMethod(), in.GetPath(), in.GetBody())
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		o.Crashes.Answer(content)
	case errors.Is(err, plainservice.ErrBroken) && ctx.Err() == nil:
		o.Crashes.Lose(in.GetRequestId(), content, sentAt)
	}
}

// acquireSlot counts a call as running, or refuses it if MaxRunning calls run or the
// process is draining. It checks for draining after it has counted the call, so that
// a drain either waits for the call or the call is refused.
func (o *Owner) acquireSlot(now time.Time) *resultcode.Result {
	if o.running.Add(1) > int64(o.Settings.MaxRunning) {
		o.running.Add(-1)
		return resultcode.New(resultcode.QueueFull, "%d calls run", o.Settings.MaxRunning).WithRetryAt(permitcheck.RetryAt(now))
	}
	if o.leaving.Load() {
		o.running.Add(-1)
		return o.PermitChecker.Leaving(now)
	}
	return nil
}

// admit opens a non-idempotent call and submits it. A refusal is recorded, so that
// the call does not run here later.
func (o *Owner) admit(in *message.CallRequest, now time.Time) *resultcode.Result {
	id := in.GetRequestId()
	forgetAt, refusal := o.PermitChecker.ForgetAt(id)
	if refusal != nil {
		return refusal
	}
	if refusal := o.check(in, now); refusal != nil {
		return o.PermitChecker.RefusePermanently(id, refusal, forgetAt)
	}
	_, held, err := o.Replay.Start(id, forgetAt)
	if err != nil || held {
		// The call does not run, so the slot that check has acquired is released.
		o.running.Add(-1)
	}
	if err != nil {
		return permitcheck.StartRefusal(err, now)
	}
	if !held {
		o.background.Submit(func(ctx context.Context) { o.runOnce(ctx, in) })
	}
	return nil
}

// check checks the permit of a call and acquires a slot for it, or returns a
// refusal.
func (o *Owner) check(in *message.CallRequest, now time.Time) *resultcode.Result {
	if !o.PermitChecker.Permits(in.GetRequestId(), in.GetPermit()) {
		return o.PermitChecker.NotOwner(now)
	}
	return o.acquireSlot(now)
}

// runOnce runs one call and stores its reply in the replay buffer.
func (o *Owner) runOnce(ctx context.Context, in *message.CallRequest) {
	defer o.running.Add(-1)
	id := in.GetRequestId()
	ctx, stop := context.WithDeadline(ctx, runDeadline(in))
	defer stop()
	code, reason := resultcode.OK, ""
	if result := o.runAndStore(ctx, in); result != nil {
		code, reason = result.Code, result.Reason
	}
	evictAt := time.Now().Add(time.Duration(o.Settings.HoldSeconds) * time.Second)
	if err := o.Replay.Finish(id, uint32(code), reason, evictAt); err != nil {
		o.Log.Error("end of the call not recorded in the replay buffer", "Request", id, "Cause", err)
	}
	o.Records.Record(id, explanation.Ended{Code: uint32(code), Outcome: string(code.Info().Outcome), Reason: reason})
}

// runAndStore runs one call and stores its reply. It returns the result of a call without a reply. A call
// that the end of the process finds in the backlog is not sent, so that it may run elsewhere.
func (o *Owner) runAndStore(ctx context.Context, in *message.CallRequest) *resultcode.Result {
	if errors.Is(context.Cause(ctx), background.ErrEnded) {
		return resultcode.New(resultcode.Leaving, "the process ended before the start")
	}
	reply, err := o.callService(ctx, in)
	if err == nil {
		err = o.storeReply(in.GetRequestId(), reply)
	}
	if err != nil {
		return failure(ctx, err)
	}
	return nil
}

// runDeadline returns the deadline of a call, or the default if it has none.
func runDeadline(in *message.CallRequest) time.Time {
	deadline := permitcheck.TimeFromNanos(in.GetDeadlineUnixNanos())
	if deadline.IsZero() {
		return time.Now().Add(defaultRunMillis * time.Millisecond)
	}
	return deadline
}
