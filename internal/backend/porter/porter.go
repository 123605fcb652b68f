// Package porter owns one plain service: it runs each call that may not be
// repeated at most once and holds its reply for those who ask again.
package porter

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/crew"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/desk"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/line"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Desk is the plain service that the porter owns.
type Desk interface {
	Call(context.Context, desk.Request) (desk.Reply, error)
}

const (
	// evictMillis is the period of housekeeping.
	evictMillis = 1000
	// runMillis bounds a call that has no deadline of its own.
	runMillis = 30000
)

// Porter owns one plain service. Its exported fields must be set before Run.
type Porter struct {
	Settings process.Backend
	Warden   *warden.Warden
	Logbook  *logbook.Logbook
	Desk     Desk
	// ConfigVersion returns the version in force.
	ConfigVersion func() uint64
	// VersionSeen takes the version that an asker holds and its peer address.
	VersionSeen func(version uint64, address string)
	Records     explanation.Writer
	Log         *slog.Logger

	leaving atomic.Bool
	running atomic.Int64
	askers  warden.Askers
	// crew runs the calls that may not be repeated.
	crew crew.Crew
}

// Prepare sets up the state that calls need. It is called once, before Run and
// before the first call is served.
func (p *Porter) Prepare() {
	p.crew.Backlog = p.Settings.MaxRunning
	p.crew.Prepare()
}

// Run works until ctx ends.
func (p *Porter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.evict(ctx) })
	group.Go(func() error { return p.crew.Run(ctx) })
	return errors.Wrap(group.Wait(), "run porter")
}

func (p *Porter) evict(ctx context.Context) error {
	ticker := time.NewTicker(evictMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.Logbook.Evict(now)
		}
	}
}

// Call runs one call, or returns the reply of the run that this incarnation
// holds for the same request. Heartbeats tell the asker that the path is alive.
func (p *Porter) Call(in *message.CallRequest, out message.DRPCBackend_CallStream) error {
	p.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return p.askers.Serve(out.Context(), func() error { return p.answer(in, out) })
}

// answer sends heartbeats and the reply.
func (p *Porter) answer(in *message.CallRequest, out message.DRPCBackend_CallStream) error {
	group, ctx := errgroup.WithContext(out.Context())
	replied := make(chan *message.CallReply, 1)
	group.Go(func() error {
		replied <- p.reply(ctx, in)
		return nil
	})
	group.Go(func() error { return p.send(ctx, out, replied) })
	return group.Wait()
}

// send sends heartbeats until the reply is there, then the reply.
func (p *Porter) send(ctx context.Context, out message.DRPCBackend_CallStream, replied <-chan *message.CallReply) error {
	ticker := time.NewTicker(time.Duration(p.Settings.HeartbeatMillis) * time.Millisecond)
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
func (p *Porter) reply(ctx context.Context, in *message.CallRequest) *message.CallReply {
	reply, refusal := p.call(ctx, in)
	if refusal != nil {
		p.Records.Record(in.GetRequestId(), refusal.Record())
		reply = &message.CallReply{
			Code:             uint32(refusal.Code),
			Reason:           refusal.Reason,
			RetryAtUnixNanos: warden.NanosOf(refusal.RetryAt),
			Recorded:         refusal.Recorded,
		}
	}
	reply.Load = p.Load()
	return reply
}

func (p *Porter) call(ctx context.Context, in *message.CallRequest) (*message.CallReply, *receipt.Result) {
	if in.GetRepeatable() {
		return p.callRepeatable(ctx, in)
	}
	if _, held := p.Logbook.Find(in.GetRequestId()); !held {
		if refusal := p.admit(in, time.Now()); refusal != nil {
			return nil, refusal
		}
	}
	return p.heldReply(ctx, in.GetRequestId())
}

// callRepeatable runs a call that needs no record.
func (p *Porter) callRepeatable(ctx context.Context, in *message.CallRequest) (*message.CallReply, *receipt.Result) {
	if refusal := p.enter(time.Now()); refusal != nil {
		return nil, refusal
	}
	defer p.running.Add(-1)
	reply, err := p.ask(ctx, in)
	if err != nil {
		return nil, failure(err)
	}
	return replyOf(reply), nil
}

// errReplyTooLarge means that the service answered with more than a message
// holds.
var errReplyTooLarge = errors.Newf("the reply is over %d bytes", line.MaxBodyBytes)

// ask calls the plain service.
func (p *Porter) ask(ctx context.Context, in *message.CallRequest) (desk.Reply, error) {
	reply, err := p.Desk.Call(ctx, requestOf(in))
	if err == nil && len(reply.Body) > line.MaxBodyBytes {
		return desk.Reply{}, errReplyTooLarge
	}
	return reply, err
}

// enter takes a place among the running calls. Whether the process is leaving is
// asked afterwards, so that a drain either counts the call or refuses it.
func (p *Porter) enter(now time.Time) *receipt.Result {
	if p.running.Add(1) > int64(p.Settings.MaxRunning) {
		p.running.Add(-1)
		return receipt.New(receipt.QueueFull, "%d calls run", p.Settings.MaxRunning).WithRetryAt(warden.RetryAt(now))
	}
	if p.leaving.Load() {
		p.running.Add(-1)
		return p.Warden.Leaving(now)
	}
	return nil
}

// admit opens a call that may not be repeated. Every refusal is recorded, so
// that the call never runs here afterwards.
func (p *Porter) admit(in *message.CallRequest, now time.Time) *receipt.Result {
	id := in.GetRequestId()
	forgetAt, refusal := p.Warden.ForgetAt(id)
	if refusal != nil {
		return refusal
	}
	if refusal := p.check(in, now); refusal != nil {
		return p.Warden.RefuseForGood(id, refusal, forgetAt)
	}
	_, held, err := p.Logbook.Start(id, forgetAt)
	if err != nil || held {
		p.running.Add(-1)
	}
	if err != nil {
		return warden.StartRefusal(err, now)
	}
	if !held {
		p.crew.Submit(func(ctx context.Context) { p.runOnce(ctx, in) })
	}
	return nil
}

// check takes a place for the call, or refuses it.
func (p *Porter) check(in *message.CallRequest, now time.Time) *receipt.Result {
	if !p.Warden.Permits(in.GetRequestId(), in.GetPermit()) {
		return p.Warden.NotOwner(now)
	}
	return p.enter(now)
}

// runOnce runs one call and holds its reply.
func (p *Porter) runOnce(ctx context.Context, in *message.CallRequest) {
	defer p.running.Add(-1)
	id := in.GetRequestId()
	ctx, stop := context.WithDeadline(ctx, runDeadline(in))
	defer stop()
	code, reason := receipt.OK, ""
	reply, err := p.ask(ctx, in)
	if err == nil {
		err = p.hold(id, reply)
	}
	if err != nil {
		result := failure(err)
		code, reason = result.Code, result.Reason
	}
	evictAt := time.Now().Add(time.Duration(p.Settings.HoldSeconds) * time.Second)
	if err := p.Logbook.Finish(id, uint32(code), reason, evictAt); err != nil {
		p.Log.Error("call could not be ended", "Request", id, "Cause", err)
	}
	p.Records.Record(id, explanation.Ended{Code: uint32(code), Outcome: string(code.Info().Outcome), Reason: reason})
}

func runDeadline(in *message.CallRequest) time.Time {
	deadline := warden.TimeFromNanos(in.GetDeadlineUnixNanos())
	if deadline.IsZero() {
		return time.Now().Add(runMillis * time.Millisecond)
	}
	return deadline
}
