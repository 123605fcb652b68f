package engineowner

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const incarnation = 7

// client adapts engine.Client to the Engine interface.
type client struct{ *engine.Client }

func (c client) Generate(ctx context.Context, r engine.Request) (Stream, error) {
	stream, err := c.Client.Generate(ctx, r)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// noMetrics discards all measurements.
type noMetrics struct{}

func (noMetrics) Stalled(string, string, time.Time, time.Time) {}
func (noMetrics) Preempted(string, string)                     {}

// recorder records the frames that one entry host receives.
type recorder struct {
	ctx    context.Context
	frames []*message.Frame
	// breakAfter is the number of frames after which Send fails. Zero means never.
	breakAfter int
}

func (r *recorder) Context() context.Context { return r.ctx }

func (r *recorder) Send(f *message.Frame) error {
	if r.breakAfter > 0 && len(r.frames) >= r.breakAfter {
		return io.ErrClosedPipe
	}
	r.frames = append(r.frames, f)
	return nil
}

func (r *recorder) text() string {
	var text strings.Builder
	for _, f := range r.frames {
		text.WriteString(strings.Join(f.GetTokens().GetText(), ""))
	}
	return text.String()
}

func (r *recorder) tokens() uint64 {
	count := 0
	for _, f := range r.frames {
		count += len(f.GetTokens().GetText())
	}
	return uint64(count)
}

func (r *recorder) last() *message.Frame { return r.frames[len(r.frames)-1] }

// start runs an Owner and its engine until the test ends.
func start(t *testing.T, server *standin.Server) *Owner {
	t.Helper()
	return startAt(t, server, server.Handler())
}

// startAt is like start with another handler of the calls of the engine.
func startAt(t *testing.T, server *standin.Server, handler http.Handler) *Owner {
	t.Helper()
	is := is.New(t)
	web := httptest.NewServer(handler)
	document, err := operatorfile.Parse([]byte(`{
		"Services": [{"Name": "coaching", "Kind": "Generation", "Model": "coach"}],
		"Models": [{"Name": "coach", "Version": "1", "Replicas": 1}],
		"Classes": [
			{"Name": "check", "Service": "coaching", "Repeatable": true, "MaxTokens": 500},
			{"Name": "now", "Service": "coaching", "Priority": 9, "Urgent": true, "Repeatable": true, "MaxTokens": 500},
			{"Name": "draft", "Service": "coaching", "Repeatable": false, "MaxTokens": 500}
		],
		"Accounts": [{"Name": "club", "Share": 1, "RequestsPerSecond": 100, "Burst": 100}]
	}`))
	is.NoErr(err)
	buffer := &replay.Buffer{Backend: "coaching-1", Incarnation: incarnation, MaxBytes: 1 << 20}
	o := &Owner{
		Crashes: &crashreport.Reports{Backend: "b"},
		Settings: process.Backend{
			Name: "coaching-1", Model: "coach", MaxRunning: 8, QueueLimit: 8,
			HoldSeconds: 60, RememberSeconds: 3600, HeartbeatMillis: 50,
		},
		Incarnation:   incarnation,
		PermitChecker: &permitcheck.Checker{Backend: "coaching-1", Incarnation: incarnation, Replay: buffer, RememberSeconds: 3600},
		Engine:        client{&engine.Client{Address: strings.TrimPrefix(web.URL, "http://"), HTTP: &http.Client{}}},
		Replay:        buffer,
		Admission: &admission.Controller{
			Policy: admission.DefaultPolicy(), CapacityTokens: 4096, BatchLimit: 8,
			StepMicros: 1000, Lengths: &outputlength.Model{},
		},
		Configuration: func() *operatorfile.Document { return &document },
		ConfigVersion: func() uint64 { return 1 },
		VersionSeen:   func(uint64, string) {},
		Metrics:       noMetrics{},
		Log:           slog.New(slog.DiscardHandler),
	}
	o.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.RunSteps(ctx) })
	group.Go(func() error { return o.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
		web.CloseClientConnections()
		web.Close()
	})
	return o
}

func request(prompt string) *message.GenerateRequest {
	return &message.GenerateRequest{
		RequestId: uuid.Must(uuid.NewV7()).String(), Account: "club", Class: "check",
		Service: "coaching", Model: "coach", Prompt: prompt, Repeatable: true,
	}
}

// draft returns a non-idempotent request with its permit.
func draft(prompt string) *message.GenerateRequest {
	in := request(prompt)
	in.Class = "draft"
	in.Repeatable = false
	in.Permit = &message.Permit{Backend: "coaching-1", Incarnation: incarnation, RequestId: in.GetRequestId()}
	return in
}

func generate(o *Owner, in *message.GenerateRequest, out *recorder) error {
	out.ctx = context.Background()
	return o.deliver(in, out)
}

// waitRunning waits until at least count generations are running.
func waitRunning(t *testing.T, o *Owner, count uint32) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for o.Load().GetRunning() < count {
		if time.Now().After(deadline) {
			t.Fatalf("only %d of %d generations are running after 30 s", o.Load().GetRunning(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitToken waits until the engine has produced a token of a request. Until then the
// admission controller may count the request as running although the engine has not
// received it.
func waitToken(t *testing.T, o *Owner, in *message.GenerateRequest) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		if entry, held := o.Replay.Find(in.GetRequestId()); held && entry.Position > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("request %s has no token after 30 s", in.GetRequestId())
		}
		time.Sleep(time.Millisecond)
	}
}
