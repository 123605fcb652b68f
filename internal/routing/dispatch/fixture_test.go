package dispatch

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// owner is a test substitute for the process beside a backend server.
type owner struct {
	name        string
	incarnation uint64
	address     string
	// script holds one handler for each call, in order; the last one handles all
	// further calls.
	script []func(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error

	mu       sync.Mutex
	requests []*message.GenerateRequest
	// unansweredCalls is the number of further calls of the plain service that get
	// no reply.
	unansweredCalls int
	// heartbeats is the number of heartbeats before the reply of a plain service.
	heartbeats int
}

// heartbeatMillis is the pause between heartbeats. It is less than the progress
// deadline of the tests, 200 ms.
const heartbeatMillis = 50

func (o *owner) Generate(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
	o.mu.Lock()
	step := o.script[min(len(o.requests), len(o.script)-1)]
	o.requests = append(o.requests, in)
	o.mu.Unlock()
	return step(in, out)
}

func (o *owner) Call(_ *message.CallRequest, out message.DRPCBackend_CallStream) error {
	if o.leavesUnanswered() {
		<-out.Context().Done()
		return out.Context().Err()
	}
	for range o.heartbeats {
		time.Sleep(heartbeatMillis * time.Millisecond)
		beat := &message.CallFrame_Heartbeat{Heartbeat: &message.Heartbeat{}}
		if err := out.Send(&message.CallFrame{Body: beat}); err != nil {
			return err
		}
	}
	reply := &message.CallReply{HttpStatus: 200, Load: o.load()}
	return out.Send(&message.CallFrame{Body: &message.CallFrame_Reply{Reply: reply}})
}

// leavesUnanswered reports whether the current call gets no reply, and counts it.
func (o *owner) leavesUnanswered() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unansweredCalls--
	return o.unansweredCalls >= 0
}

func (o *owner) Cancel(context.Context, *message.CancelRequest) (*message.CancelReply, error) {
	return &message.CancelReply{}, nil
}

func (o *owner) Probe(context.Context, *message.ProbeRequest) (*message.Load, error) {
	return o.load(), nil
}

func (o *owner) load() *message.Load {
	return &message.Load{Backend: o.name, Incarnation: o.incarnation}
}

// calls returns the number of Generate calls so far.
func (o *owner) calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

// serve runs the owner on the loopback interface until the test ends.
func (o *owner) serve(t testing.TB) *owner {
	t.Helper()
	o.serveUntil(t)
	return o
}

// serveUntil runs the owner on the loopback interface until the test ends or the
// returned function is called.
func (o *owner) serveUntil(t testing.TB) func() {
	t.Helper()
	is := is.New(t)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	o.address = listener.Addr().String()
	mux := drpcmux.New()
	is.NoErr(message.DRPCRegisterBackend(mux, o))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return (&transport.Server{Listener: listener, Handler: mux}).Run(ctx) })
	end := func() {
		stop()
		_ = group.Wait()
	}
	t.Cleanup(end)
	return end
}

// frame returns a frame of the owner's only generation.
func (o *owner) frame(in *message.GenerateRequest, position uint64) *message.Frame {
	return &message.Frame{
		RequestId:  in.GetRequestId(),
		Generation: &message.Generation{Backend: o.name, Incarnation: o.incarnation, Sequence: 1},
		Position:   position,
	}
}

func (o *owner) tokens(in *message.GenerateRequest, position uint64, text ...string) *message.Frame {
	f := o.frame(in, position)
	f.Body = &message.Frame_Tokens{Tokens: &message.Tokens{Text: text}}
	return f
}

func (o *owner) end(in *message.GenerateRequest, position uint64) *message.Frame {
	f := o.frame(in, position)
	f.Body = &message.Frame_End{End: &message.End{Code: uint32(resultcode.OK)}}
	return f
}

// send returns a handler that sends the answer from the requested position and
// breaks the path before breakAt. If breakAt is zero, it sends the whole answer.
func (o *owner) send(breakAt uint64, words ...string) func(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
	return func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
		for n := in.GetFromPosition(); n < uint64(len(words)); n++ {
			if breakAt != 0 && n == breakAt {
				return context.Canceled
			}
			if err := out.Send(o.tokens(in, n, words[n])); err != nil {
				return err
			}
		}
		return out.Send(o.end(in, uint64(len(words))))
	}
}

// refuse returns a handler that refuses the request.
func (o *owner) refuse(code resultcode.Code, recorded bool) func(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
	return func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
		f := o.frame(in, 0)
		f.Generation.Sequence = 0
		f.Body = &message.Frame_Refusal{Refusal: &message.Refusal{Code: uint32(code), Reason: "script", Recorded: recorded}}
		return out.Send(f)
	}
}

// picker picks the first owner on which no attempt of the request has failed.
type picker struct {
	owners []*owner
}

func (p *picker) Pick(s Selection, now time.Time) (Target, *resultcode.Result) {
	for _, o := range p.owners {
		if !s.Refused[o.name] {
			return Target{Backend: o.name, PeerAddress: o.address, Incarnation: o.incarnation}, nil
		}
	}
	return Target{}, resultcode.New(resultcode.NoBackend, "no owner left").WithRetryAt(now.Add(time.Second))
}

func (p *picker) Locate(backend string, incarnation uint64) (Target, Presence) {
	for _, o := range p.owners {
		if o.name == backend {
			return Target{Backend: o.name, PeerAddress: o.address, Incarnation: incarnation}, Present
		}
	}
	return Target{}, Unlisted
}

func (p *picker) Observe(*message.Load, time.Time, time.Time)              {}
func (p *picker) Refused(Selection, Target, *resultcode.Result, time.Time) {}
func (p *picker) Unreachable(Target, time.Time)                            {}
func (p *picker) Succeeded(time.Time)                                      {}
func (p *picker) Retry(a retrybudget.Attempt, now time.Time) retrybudget.Decision {
	if a.Count >= 4 {
		return retrybudget.NoRetry{Reason: retrybudget.ReasonAttempts}
	}
	return retrybudget.Retry{At: now}
}

// claimer binds the key to the first claim, and to a later one whose refused
// permit is the current one.
type claimer struct {
	claims []*message.ClaimRequest
	permit *message.Permit
}

func (c *claimer) Claim(_ context.Context, in *message.ClaimRequest) (*message.ClaimReply, error) {
	c.claims = append(c.claims, in)
	if c.permit == nil || (in.GetRefused() != nil && in.GetRefused().GetOffset() == c.permit.GetOffset()) {
		c.permit = &message.Permit{
			Key:         in.GetKey(),
			Offset:      uint64(len(c.claims)),
			Incarnation: in.GetIncarnation(),
			Backend:     in.GetBackend(),
			RequestId:   in.GetRequestId(),
		}
	}
	return &message.ClaimReply{Permit: c.permit}, nil
}

// recordingSink keeps what the caller receives.
type recordingSink struct {
	begun int
	texts []string
	// onTokens is called when tokens arrive; it may be nil.
	onTokens func()
}

func (a *recordingSink) Begin(resumetoken.Token) {
	a.begun++
	a.texts = nil
}

func (a *recordingSink) Tokens(_ uint64, text []string) error {
	a.texts = append(a.texts, text...)
	if a.onTokens != nil {
		a.onTokens()
	}
	return nil
}

func (a *recordingSink) Alive(message.GenerationState) error { return nil }

func (a *recordingSink) text() string { return strings.Join(a.texts, " ") }

// runner returns a Runner with short timeouts.
func runner(p *picker, c *claimer) *Runner {
	return &Runner{
		Picker:             p,
		Claimer:            c,
		Metrics:            &metrics.Registry{},
		ProgressMillis:     200,
		OwnerTimeoutMillis: 400,
		Partitions:         1,
		ConfigVersion:      func() uint64 { return 1 },
	}
}
