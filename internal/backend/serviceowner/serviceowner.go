// Package serviceowner owns one plain service: it runs each call that may not be
// repeated at most once and holds its reply for those who ask again.
package serviceowner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/background"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Service is the plain service that the Owner owns.
type Service interface {
	Call(context.Context, plainservice.Request) (plainservice.Reply, error)
}

const (
	// evictMillis is the period of housekeeping.
	evictMillis = 1000
	// defaultRunMillis bounds a call that has no deadline of its own.
	defaultRunMillis = 30000
)

// Owner owns one plain service. Its exported fields must be set before Run.
type Owner struct {
	Settings      process.Backend
	PermitChecker *permitcheck.Checker
	Replay        *replay.Buffer
	Service       Service
	// ConfigVersion returns the version in force.
	ConfigVersion func() uint64
	// VersionSeen takes the version that an asker holds and its peer address.
	VersionSeen func(version uint64, address string)
	Records     explanation.Writer
	Log         *slog.Logger

	leaving atomic.Bool
	running atomic.Int64
	clients permitcheck.Clients
	// background runs the calls that may not be repeated.
	background background.Group
}

// Prepare sets up the state that calls need. It is called once, before Run and
// before the first call is served.
func (o *Owner) Prepare() {
	o.background.Backlog = o.Settings.MaxRunning
	o.background.Prepare()
}

// Run works until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.evict(ctx) })
	group.Go(func() error { return o.background.Run(ctx) })
	return errors.Wrap(group.Wait(), "run porter")
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

// Call runs one call, or returns the reply of the run that this incarnation
// holds for the same request. Heartbeats tell the asker that the path is alive.
func (o *Owner) Call(in *message.CallRequest, out message.DRPCBackend_CallStream) error {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.clients.Serve(out.Context(), func() error { return o.answer(in, out) })
}

// answer sends heartbeats and the reply.
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

// send sends heartbeats until the reply is there, then the reply.
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

// reply returns the reply or the refusal of one call.
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

// callRepeatable runs a call that needs no record.
func (o *Owner) callRepeatable(ctx context.Context, in *message.CallRequest) (*message.CallReply, *resultcode.Result) {
	if refusal := o.acquireSlot(time.Now()); refusal != nil {
		return nil, refusal
	}
	defer o.running.Add(-1)
	reply, err := o.callService(ctx, in)
	if err != nil {
		return nil, failure(err)
	}
	return replyOf(reply), nil
}

// errReplyTooLarge means that the service answered with more than a message
// holds.
var errReplyTooLarge = errors.Newf("the reply is over %d bytes", transport.MaxBodyBytes)

// callService calls the plain service.
func (o *Owner) callService(ctx context.Context, in *message.CallRequest) (plainservice.Reply, error) {
	reply, err := o.Service.Call(ctx, requestOf(in))
	if err == nil && len(reply.Body) > transport.MaxBodyBytes {
		return plainservice.Reply{}, errReplyTooLarge
	}
	return reply, err
}

// acquireSlot takes a place among the running calls. Whether the process is leaving is
// asked afterwards, so that a drain either counts the call or refuses it.
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

// admit opens a call that may not be repeated. Every refusal is recorded, so
// that the call never runs here afterwards.
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

// check takes a place for the call, or refuses it.
func (o *Owner) check(in *message.CallRequest, now time.Time) *resultcode.Result {
	if !o.PermitChecker.Permits(in.GetRequestId(), in.GetPermit()) {
		return o.PermitChecker.NotOwner(now)
	}
	return o.acquireSlot(now)
}

// runOnce runs one call and holds its reply.
func (o *Owner) runOnce(ctx context.Context, in *message.CallRequest) {
	defer o.running.Add(-1)
	id := in.GetRequestId()
	ctx, stop := context.WithDeadline(ctx, runDeadline(in))
	defer stop()
	code, reason := resultcode.OK, ""
	reply, err := o.callService(ctx, in)
	if err == nil {
		err = o.storeReply(id, reply)
	}
	if err != nil {
		result := failure(err)
		code, reason = result.Code, result.Reason
	}
	evictAt := time.Now().Add(time.Duration(o.Settings.HoldSeconds) * time.Second)
	if err := o.Replay.Finish(id, uint32(code), reason, evictAt); err != nil {
		o.Log.Error("call could not be ended", "Request", id, "Cause", err)
	}
	o.Records.Record(id, explanation.Ended{Code: uint32(code), Outcome: string(code.Info().Outcome), Reason: reason})
}

func runDeadline(in *message.CallRequest) time.Time {
	deadline := permitcheck.TimeFromNanos(in.GetDeadlineUnixNanos())
	if deadline.IsZero() {
		return time.Now().Add(defaultRunMillis * time.Millisecond)
	}
	return deadline
}
