package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// start serves s and returns a client of it; all ends with the test.
func start(t *testing.T, s *standin.Server) *engine.Client {
	t.Helper()
	s.StepMillis = 1
	server := httptest.NewServer(s.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Loop(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	return &engine.Client{Address: server.Listener.Addr().String(), HTTP: server.Client()}
}

// readAll returns the texts of a stream's tokens and its last event.
func readAll(stream *engine.Stream) ([]string, engine.Event, error) {
	var texts []string
	var last engine.Event
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return texts, last, nil
		}
		if err != nil {
			return texts, last, err
		}
		last = event
		if token, ok := event.(engine.Token); ok {
			texts = append(texts, token.Text)
		}
	}
}

func TestGenerate(t *testing.T) {
	tests := []struct {
		name   string
		req    engine.Request
		tokens int
		reason string
	}{
		{"length in the prompt", engine.Request{ID: "a", Prompt: "draft tokens=37 please"}, 37, engine.ReasonStop},
		{"bound", engine.Request{ID: "a/b", Prompt: "draft tokens=37", MaxTokens: 5}, 5, engine.ReasonLength},
		{"too large", engine.Request{ID: "c", Prompt: "tokens=9000"}, 4095, "error: needs more than the whole memory"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &standin.Server{Seed: 7}
			client := start(t, s)
			stream, err := client.Generate(t.Context(), tt.req)
			is.NoErr(err)
			defer func() { is.NoErr(stream.Close()) }()
			texts, last, err := readAll(stream)
			is.NoErr(err)
			is.Equal(texts, s.Output(tt.req.Prompt)[:tt.tokens])
			is.Equal(last, engine.Finished{RequestID: tt.req.ID, Reason: tt.reason, Tokens: tt.tokens})
			is.Equal(s.Executions(tt.req.ID), 1)
		})
	}
}
