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

// client lets the owner use the engine's client.
type client struct{ *engine.Client }

func (c client) Generate(ctx context.Context, r engine.Request) (Stream, error) {
	stream, err := c.Client.Generate(ctx, r)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// noMetrics measures nothing.
type noMetrics struct{}

func (noMetrics) Stalled(string, string, time.Time, time.Time) {}
func (noMetrics) Preempted(string, string)                     {}

// recorder collects the frames that one entry host receives.
type recorder struct {
	ctx    context.Context
	frames []*message.Frame
	// breakAfter fails the path after so many frames; zero never does.
	breakAfter int
}

func (b *recorder) Context() context.Context { return b.ctx }

func (b *recorder) Send(f *message.Frame) error {
	if b.breakAfter > 0 && len(b.frames) >= b.breakAfter {
		return io.ErrClosedPipe
	}
	b.frames = append(b.frames, f)
	return nil
}

func (b *recorder) text() string {
	var text strings.Builder
	for _, f := range b.frames {
		text.WriteString(strings.Join(f.GetTokens().GetText(), ""))
	}
	return text.String()
}

func (b *recorder) tokens() uint64 {
	count := 0
	for _, f := range b.frames {
		count += len(f.GetTokens().GetText())
	}
	return uint64(count)
}

func (b *recorder) last() *message.Frame { return b.frames[len(b.frames)-1] }

// start runs an owner and its engine until the test ends.
func start(t *testing.T, server *standin.Server) *Owner {
	t.Helper()
	is := is.New(t)
	web := httptest.NewServer(server.Handler())
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
	book := &replay.Buffer{Backend: "coaching-1", Incarnation: incarnation, MaxBytes: 1 << 20}
	k := &Owner{
		Settings: process.Backend{
			Name: "coaching-1", Model: "coach", MaxRunning: 8, QueueLimit: 8,
			HoldSeconds: 60, RememberSeconds: 3600, HeartbeatMillis: 50,
		},
		Incarnation:   incarnation,
		PermitChecker: &permitcheck.Checker{Backend: "coaching-1", Incarnation: incarnation, Replay: book, RememberSeconds: 3600},
		Engine:        client{&engine.Client{Address: strings.TrimPrefix(web.URL, "http://"), HTTP: &http.Client{}}},
		Replay:        book,
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
	k.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Loop(ctx) })
	group.Go(func() error { return k.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
		web.CloseClientConnections()
		web.Close()
	})
	return k
}

func request(prompt string) *message.GenerateRequest {
	return &message.GenerateRequest{
		RequestId: uuid.Must(uuid.NewV7()).String(), Account: "club", Class: "check",
		Service: "coaching", Model: "coach", Prompt: prompt, Repeatable: true,
	}
}

// draft returns a request that may not be repeated, with its permit.
func draft(prompt string) *message.GenerateRequest {
	in := request(prompt)
	in.Class = "draft"
	in.Repeatable = false
	in.Permit = &message.Permit{Backend: "coaching-1", Incarnation: incarnation, RequestId: in.GetRequestId()}
	return in
}

func generate(k *Owner, in *message.GenerateRequest, box *recorder) error {
	box.ctx = context.Background()
	return k.deliver(in, box)
}

// waitRunning waits until so many generations are on the engine.
func waitRunning(t *testing.T, k *Owner, count uint32) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for k.Load().GetRunning() < count {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d generations run", k.Load().GetRunning(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitToken waits until the engine has produced a token of a request. Before, the
// admission controller counts it as running though the engine may not have it yet.
func waitToken(t *testing.T, k *Owner, in *message.GenerateRequest) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		if entry, held := k.Replay.Find(in.GetRequestId()); held && entry.Position > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("request %s has no token", in.GetRequestId())
		}
		time.Sleep(time.Millisecond)
	}
}
