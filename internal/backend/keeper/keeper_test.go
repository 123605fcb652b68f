package keeper

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

	"github.com/fulmarvalve/fulmarvalve/internal/backend/booking"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/tide"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const incarnation = 7

// client lets the keeper use the engine's client.
type client struct{ *engine.Client }

func (c client) Generate(ctx context.Context, r engine.Request) (Stream, error) {
	stream, err := c.Client.Generate(ctx, r)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// noGauge measures nothing.
type noGauge struct{}

func (noGauge) Stalled(string, string, time.Time, time.Time) {}
func (noGauge) Preempted(string, string)                     {}

// inbox collects the frames that one entry host receives.
type inbox struct {
	ctx    context.Context
	frames []*message.Frame
	// breakAfter fails the path after so many frames; zero never does.
	breakAfter int
}

func (b *inbox) Context() context.Context { return b.ctx }

func (b *inbox) Send(f *message.Frame) error {
	if b.breakAfter > 0 && len(b.frames) >= b.breakAfter {
		return io.ErrClosedPipe
	}
	b.frames = append(b.frames, f)
	return nil
}

func (b *inbox) text() string {
	var text strings.Builder
	for _, f := range b.frames {
		text.WriteString(strings.Join(f.GetTokens().GetText(), ""))
	}
	return text.String()
}

func (b *inbox) tokens() uint64 {
	count := 0
	for _, f := range b.frames {
		count += len(f.GetTokens().GetText())
	}
	return uint64(count)
}

func (b *inbox) last() *message.Frame { return b.frames[len(b.frames)-1] }

// start runs a keeper and its engine until the test ends.
func start(t *testing.T, server *standin.Server) *Keeper {
	t.Helper()
	is := is.New(t)
	web := httptest.NewServer(server.Handler())
	document, err := agreement.Parse([]byte(`{
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
	book := &logbook.Logbook{Backend: "coaching-1", Incarnation: incarnation, MaxBytes: 1 << 20}
	k := &Keeper{
		Settings: process.Backend{
			Name: "coaching-1", Model: "coach", MaxRunning: 8, QueueLimit: 8,
			HoldSeconds: 60, RememberSeconds: 3600, HeartbeatMillis: 50,
		},
		Incarnation: incarnation,
		Warden:      &warden.Warden{Backend: "coaching-1", Incarnation: incarnation, Logbook: book, RememberSeconds: 3600},
		Engine:      client{&engine.Client{Address: strings.TrimPrefix(web.URL, "http://"), HTTP: &http.Client{}}},
		Logbook:     book,
		Book: &booking.Book{
			Policy: booking.DefaultPolicy(), CapacityTokens: 4096, BatchLimit: 8,
			StepMicros: 1000, Lengths: &tide.Model{},
		},
		Configuration: func() *agreement.Document { return &document },
		ConfigVersion: func() uint64 { return 1 },
		VersionSeen:   func(uint64, string) {},
		Gauge:         noGauge{},
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

func ask(k *Keeper, in *message.GenerateRequest, box *inbox) error {
	box.ctx = context.Background()
	return k.deliver(in, box)
}

func TestEngineFaultsDoNotReachTheAnswer(t *testing.T) {
	tests := []struct {
		name string
		give func(*standin.Faults)
	}{
		{"none", func(*standin.Faults) {}},
		{"repeated tokens", func(f *standin.Faults) { f.RepeatTokens.Store(5) }},
		{"missing tokens", func(f *standin.Faults) { f.OmitTokens.Store(2) }},
		{"crossed tokens", func(f *standin.Faults) { f.CrossEvents.Store(3) }},
		{"crossed ends", func(f *standin.Faults) { f.CrossEnds.Store(3) }},
		{"lost answer", func(f *standin.Faults) { f.LoseAnswers.Store(1) }},
		{"all", func(f *standin.Faults) {
			f.LoseAnswers.Store(1)
			f.RepeatTokens.Store(3)
			f.OmitTokens.Store(1)
			f.CrossEvents.Store(2)
			f.CrossEnds.Store(1)
		}},
	}
	var want string
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			k := start(t, server)
			tt.give(&server.Faults)
			in := request("tokens=40 same prompt")
			box := &inbox{}
			is.NoErr(ask(k, in, box))
			is.Equal(box.last().GetEnd().GetCode(), uint32(receipt.OK))
			is.Equal(box.tokens(), uint64(40))
			if want == "" {
				want = box.text()
			}
			is.Equal(box.text(), want)
			is.Equal(server.Executions(in.GetRequestId()), 1)
		})
	}
}

func TestBrokenPathIsResumedFromTheLogbook(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := request("tokens=30 resume")
	first := &inbox{breakAfter: 8}
	is.True(ask(k, in, first) != nil)
	in.FromPosition = first.tokens()
	in.Attach = first.last().GetGeneration()
	second := &inbox{}
	is.NoErr(ask(k, in, second))
	is.Equal(first.tokens()+second.tokens(), uint64(30))
	is.Equal(server.Executions(in.GetRequestId()), 1)
}

func TestRefusals(t *testing.T) {
	other := draft("tokens=3 x")
	other.Permit.Incarnation++
	lost := request("tokens=3 x")
	lost.Attach = &message.Generation{Backend: "coaching-1", Incarnation: incarnation + 1, Sequence: 1}
	foreign := request("tokens=3 x")
	foreign.Model = "other"
	tests := []struct {
		name         string
		give         *message.GenerateRequest
		leaving      bool
		wantCode     receipt.Code
		wantRecorded bool
	}{
		{"permit of another incarnation", other, false, receipt.NotOwner, true},
		{"generation of another incarnation", lost, false, receipt.NotHeld, false},
		{"other model", foreign, false, receipt.EngineRefused, false},
		{"leaving", request("tokens=3 x"), true, receipt.Leaving, false},
		{"leaving, once only", draft("tokens=3 x"), true, receipt.Leaving, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := &standin.Server{StepMillis: 1, Seed: 1}
			k := start(t, server)
			if tt.leaving {
				k.Leave()
			}
			box := &inbox{}
			is.NoErr(ask(k, tt.give, box))
			is.Equal(receipt.Code(box.last().GetRefusal().GetCode()), tt.wantCode)
			is.Equal(box.last().GetRefusal().GetRecorded(), tt.wantRecorded)
			is.Equal(server.Executions(tt.give.GetRequestId()), 0)
		})
	}
}

// TestRecordedRefusalHolds proves that a request refused for good does not run
// when it comes again under better conditions.
func TestRecordedRefusalHolds(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := draft("tokens=3 x")
	k.Leave()
	is.NoErr(ask(k, in, &inbox{}))
	k.leaving.Store(false)
	box := &inbox{}
	is.NoErr(ask(k, in, box))
	is.Equal(receipt.Code(box.last().GetRefusal().GetCode()), receipt.Leaving)
	is.Equal(server.Executions(in.GetRequestId()), 0)
}

func TestSameRequestTwiceRunsOnce(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 1, Seed: 1}
	k := start(t, server)
	in := draft("tokens=20 twice")
	boxes := []*inbox{{}, {}, {}}
	var group errgroup.Group
	for _, box := range boxes {
		group.Go(func() error { return ask(k, in, box) })
	}
	is.NoErr(group.Wait())
	for _, box := range boxes {
		is.Equal(box.tokens(), uint64(20))
		is.Equal(box.text(), boxes[0].text())
	}
	is.Equal(server.Executions(in.GetRequestId()), 1)
}

func TestCacheEvents(t *testing.T) {
	stored := func(sequence, hash uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.Stored, PrefixHash: hash}
	}
	evicted := func(sequence, hash uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.Evicted, PrefixHash: hash}
	}
	tests := []struct {
		name string
		give []engine.CacheEvent
		want []uint64
	}{
		{"stored", []engine.CacheEvent{stored(1, 5), stored(2, 6)}, []uint64{6, 5}},
		{"evicted", []engine.CacheEvent{stored(1, 5), stored(2, 6), evicted(3, 5)}, []uint64{6}},
		{"repeated", []engine.CacheEvent{stored(1, 5), evicted(2, 5), stored(1, 5)}, []uint64{}},
		{"gap", []engine.CacheEvent{stored(1, 5), stored(4, 6)}, []uint64{6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := &Keeper{}
			k.takeCacheEvents(tt.give)
			is.Equal(append([]uint64{}, k.recent.hashes...), tt.want)
		})
	}
}

// TestUrgentRequestPreemptsRepeatableOne fills the engine's memory with a draft
// that may not be repeated and a check that may, and expects an urgent prompt
// to push the check aside.
func TestUrgentRequestPreemptsRepeatableOne(t *testing.T) {
	is := is.New(t)
	server := &standin.Server{StepMillis: 2, Seed: 1, MemoryTokens: 4096}
	k := start(t, server)
	k.Records = explanation.Writer{Ring: &explanation.Ring{}}
	long := func(words int) string { return " " + strings.Repeat("word ", words) }
	once, check, urgent := draft("tokens=400"+long(800)), request("tokens=400"+long(800)), request("tokens=5"+long(1800))
	urgent.Class = "now"
	var group errgroup.Group
	for n, in := range []*message.GenerateRequest{once, check} {
		group.Go(func() error { return ask(k, in, &inbox{}) })
		waitRunning(t, k, uint32(n+1))
	}
	is.NoErr(ask(k, urgent, &inbox{}))
	is.True(preemptedFor(k, check.GetRequestId(), urgent.GetRequestId()))
	is.True(!preemptedFor(k, once.GetRequestId(), urgent.GetRequestId()))
	is.NoErr(group.Wait())
}

// waitRunning waits until so many generations are on the engine.
func waitRunning(t *testing.T, k *Keeper, count uint32) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for k.Load().GetRunning() < count {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d generations run", k.Load().GetRunning(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

// preemptedFor tells whether a request was preempted in favour of another.
func preemptedFor(k *Keeper, id, favoured string) bool {
	for _, record := range k.Records.Ring.Find(id) {
		preempted, is := record.Decision.(explanation.Preempted)
		if is && preempted.InFavourOf == favoured {
			return true
		}
	}
	return false
}
