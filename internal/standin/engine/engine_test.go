package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve starts an HTTP server for s and returns a client of it. The engine runs
// steps only when Step is called.
func serve(t *testing.T, s *standin.Server) *engine.Client {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &engine.Client{Address: server.Listener.Addr().String(), HTTP: server.Client()}
}

// steps runs n steps of s.
func steps(s *standin.Server, n int) {
	for range n {
		s.Step()
	}
}

// open starts or resumes a generation and closes its stream at the end of the test.
func open(t *testing.T, client *engine.Client, req engine.Request) *engine.Stream {
	t.Helper()
	stream, err := client.Generate(t.Context(), req)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// readAll returns the events of a stream until its end.
func readAll(stream *engine.Stream) ([]engine.Event, error) {
	var events []engine.Event
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// describe returns a short word for each event.
func describe(events []engine.Event) []string {
	var words []string
	for _, event := range events {
		switch e := event.(type) {
		case engine.Token:
			words = append(words, fmt.Sprintf("%s%d", e.RequestID, e.Position))
		case engine.Preempted:
			words = append(words, "preempted")
		case engine.Resumed:
			words = append(words, "resumed")
		case engine.Finished:
			words = append(words, fmt.Sprintf("%s-end%d:%s", e.RequestID, e.Tokens, e.Reason))
		}
	}
	return words
}

func TestGenerate(t *testing.T) {
	tests := []struct {
		name   string
		memory int
		req    engine.Request
		// during is called after two of the four steps.
		during func(*standin.Server, *engine.Client)
		faults func(*standin.Faults)
		want   []string
	}{
		{"complete", 0, engine.Request{}, nil, nil, []string{"a0", "a1", "a2", "a-end3:stop"}},
		{"limited", 0, engine.Request{MaxTokens: 2}, nil, nil, []string{"a0", "a1", "a-end2:length"}},
		{"limit equals the length", 0, engine.Request{MaxTokens: 3}, nil, nil, []string{"a0", "a1", "a2", "a-end3:stop"}},
		{"too large", 4, engine.Request{}, nil, nil, []string{"a0", "a1", "a-end2:error: needs more than the whole memory"}},
		{"duplicate token", 0, engine.Request{}, nil, func(f *standin.Faults) { f.DuplicateTokens.Store(1) }, []string{"a0", "a0", "a1", "a2", "a-end3:stop"}},
		{"omitted token", 0, engine.Request{}, nil, func(f *standin.Faults) { f.OmitTokens.Store(1) }, []string{"a1", "a2", "a-end3:stop"}},
		{"foreign token", 0, engine.Request{}, nil, func(f *standin.Faults) { f.ForeignTokens.Store(1) }, []string{"a0", "crossed1", "a1", "a2", "a-end3:stop"}},
		{"foreign end", 0, engine.Request{}, nil, func(f *standin.Faults) { f.ForeignEnds.Store(1) }, []string{"a0", "crossed-end1:stop", "a1", "a2", "a-end3:stop"}},
		{"cancelled", 0, engine.Request{}, func(_ *standin.Server, c *engine.Client) {
			_ = c.Cancel(context.Background(), "a")
		}, nil, []string{"a0", "a1", "a-end2:error: cancelled"}},
		{"preempted", 0, engine.Request{}, func(_ *standin.Server, c *engine.Client) {
			_ = c.Order(context.Background(), engine.Order{Kind: engine.Preempt, RequestID: "a"})
		}, nil, []string{"a0", "a1", "preempted", "resumed", "a2", "a-end3:stop"}},
		{"frozen", 0, engine.Request{}, func(s *standin.Server, _ *engine.Client) {
			s.Faults.Frozen.Store(true)
			steps(s, 10)
			s.Faults.Frozen.Store(false)
		}, nil, []string{"a0", "a1", "a2", "a-end3:stop"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &standin.Server{MemoryTokens: tt.memory, Seed: 7}
			client := serve(t, s)
			if tt.faults != nil {
				tt.faults(&s.Faults)
			}
			tt.req.ID = "a"
			tt.req.Prompt = "draft tokens=3"
			stream := open(t, client, tt.req)
			steps(s, 2)
			if tt.during != nil {
				tt.during(s, client)
			}
			steps(s, 2)
			events, err := readAll(stream)
			is.NoErr(err)
			is.Equal(describe(events), tt.want)
			is.Equal(s.Executions("a"), 1)
		})
	}
}

func TestRunServesUntilContextEnds(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{Address: "127.0.0.1:0", StepMillis: 1}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	unpooled := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	client := &engine.Client{Address: s.Addr(), HTTP: unpooled}
	stream, err := client.Generate(ctx, engine.Request{ID: "a", Prompt: "tokens=20"})
	is.NoErr(err)
	events, err := readAll(stream)
	is.NoErr(err)
	is.Equal(len(events), 21)
	is.NoErr(stream.Close())
	cancel()
	is.NoErr(g.Wait())
	_, err = client.Generate(t.Context(), engine.Request{ID: "b"})
	is.True(errors.Is(err, engine.ErrRefused))
}

func TestAttachResumesWithoutExecution(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{}
	client := serve(t, s)
	first := open(t, client, engine.Request{ID: "a", Prompt: "tokens=4"})
	steps(s, 2)
	is.NoErr(first.Close())
	second := open(t, client, engine.Request{ID: "a", ResumeFrom: 2})
	steps(s, 2)
	events, err := readAll(second)
	is.NoErr(err)
	is.Equal(describe(events), []string{"a2", "a3", "a-end4:stop"})
	fromStart, err := readAll(open(t, client, engine.Request{ID: "a", ResumeFrom: engine.ResumeFromStart}))
	is.NoErr(err)
	is.Equal(len(fromStart), 5)
	is.Equal(s.Executions("a"), 1)
	_, err = client.Generate(t.Context(), engine.Request{ID: "b", ResumeFrom: 1})
	is.True(errors.Is(err, engine.ErrRefused))
	is.Equal(s.Executions("b"), 0)
}

func TestLostAnswerStartsOnce(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{}
	client := serve(t, s)
	// Opens a connection that the next request reuses.
	_, err := readAllAfter(s, open(t, client, engine.Request{ID: "warm", Prompt: "tokens=1"}))
	is.NoErr(err)
	s.Faults.LoseAnswers.Store(1)
	_, err = client.Generate(t.Context(), engine.Request{ID: "a", Prompt: "tokens=1"})
	is.True(errors.Is(err, engine.ErrBroken))
	is.True(!errors.Is(err, engine.ErrRefused))
	is.Equal(s.Executions("a"), 1)
}

// readAllAfter runs one step of s and returns the events of a stream until its end.
func readAllAfter(s *standin.Server, stream *engine.Stream) ([]engine.Event, error) {
	s.Step()
	return readAll(stream)
}

func TestCrashBreaksStreams(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{ChecksFencing: true}
	client := serve(t, s)
	stream := open(t, client, engine.Request{ID: "a", Prompt: "tokens=9"})
	s.Step()
	event, err := stream.Next()
	is.NoErr(err)
	is.Equal(describe([]engine.Event{event}), []string{"a0"})
	s.Crash()
	_, err = stream.Next()
	is.True(errors.Is(err, engine.ErrBroken))
	_, err = client.Generate(t.Context(), engine.Request{ID: "a", ResumeFrom: 1})
	is.True(errors.Is(err, engine.ErrRefused))
	s.Faults.Down.Store(true)
	_, err = client.Generate(t.Context(), engine.Request{ID: "b"})
	is.True(errors.Is(err, engine.ErrBroken))
	is.Equal(s.Executions("b"), 0)
}

func TestStalledStreamsLeaveNewStreamsWorking(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{}
	client := serve(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	stalled, err := client.Generate(ctx, engine.Request{ID: "a", Prompt: "tokens=2"})
	is.NoErr(err)
	s.StallOpenStreams()
	steps(s, 2)
	events, err := readAll(open(t, client, engine.Request{ID: "a", ResumeFrom: engine.ResumeFromStart}))
	is.NoErr(err)
	is.Equal(len(events), 3)
	cancel()
	_, err = stalled.Next()
	is.True(errors.Is(err, engine.ErrBroken))
	is.NoErr(stalled.Close())
}
