package engine_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

func TestOrdersAndFencing(t *testing.T) {
	load := func(fence uint64) engine.Order {
		return engine.Order{Kind: engine.LoadAdapter, Target: "coach", Fence: fence}
	}
	tests := []struct {
		name   string
		checks bool
		order  engine.Order
		want   error
	}{
		{"newer fence", true, load(6), nil},
		{"same fence", true, load(5), nil},
		{"outdated fence", true, load(4), engine.ErrFenced},
		{"outdated fence unchecked", false, load(4), nil},
		{"unknown kind", false, engine.Order{Kind: "Paint"}, engine.ErrRefused},
		{"nothing to preempt", false, engine.Order{Kind: engine.Preempt, RequestID: "x"}, engine.ErrRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &standin.Server{ChecksFencing: tt.checks}
			client := serve(t, s)
			is.NoErr(client.Order(t.Context(), load(5)))
			err := client.Order(t.Context(), tt.order)
			executed := []engine.Order{load(5), tt.order}
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
				is.True(errors.Is(err, engine.ErrRefused))
				is.Equal(errors.Is(err, engine.ErrFenced), errors.Is(tt.want, engine.ErrFenced))
				executed = executed[:1]
			} else {
				is.NoErr(err)
			}
			is.Equal(s.Orders(), executed)
		})
	}
}

func TestLostOrderTakesEffect(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{}
	client := serve(t, s)
	s.Faults.LoseOrders.Store(1)
	err := client.Order(t.Context(), engine.Order{Kind: engine.ChangeRole, Target: "prefill"})
	is.True(errors.Is(err, engine.ErrBroken))
	is.Equal(len(s.Orders()), 1)
}

func TestCacheEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{CacheEventGapEvery: 2}
	client := serve(t, s)
	for hash := range uint64(3) {
		open(t, client, engine.Request{ID: "a", Prompt: "one two tokens=1", PrefixHash: hash + 1})
	}
	s.Step()
	events, err := client.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(events, []engine.CacheEvent{{Sequence: 1, Kind: engine.Stored, PrefixHash: 1}, {Sequence: 3, Kind: engine.Stored, PrefixHash: 3}})
	events, err = client.CacheEvents(t.Context(), 3)
	is.NoErr(err)
	is.Equal(len(events), 0)
}

func TestLoadAndCacheEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &standin.Server{LoadLagMillis: 100, CacheEventLagMillis: 200, MemoryTokens: 64}
		var pipe serving.Pipe
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return pipe.Serve(ctx, s.Handler()) })
		client := &engine.Client{Address: "engine", HTTP: pipe.Client()}
		start := time.Now()
		stream, err := client.Generate(t.Context(), engine.Request{ID: "a", Prompt: "one two tokens=9", PrefixHash: 4})
		is.NoErr(err)
		s.Step()
		check := func(running, cached int) {
			load, err := client.Load(t.Context())
			is.NoErr(err)
			is.Equal(load.Running, running)
			is.Equal(load.MemoryTotal, 64)
			events, err := client.CacheEvents(t.Context(), 0)
			is.NoErr(err)
			is.Equal(len(events), cached)
		}
		check(0, 0)
		time.Sleep(100 * time.Millisecond)
		s.Step()
		check(1, 0)
		load, err := client.Load(t.Context())
		is.NoErr(err)
		is.True(load.MeasuredAt.Equal(start))
		time.Sleep(100 * time.Millisecond)
		check(1, 1)
		is.NoErr(stream.Close())
		client.HTTP.CloseIdleConnections()
		cancel()
		is.NoErr(g.Wait())
	})
}
