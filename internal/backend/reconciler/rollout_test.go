package reconciler

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
	standinweights "github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

const (
	// storeLoadsPerMinute is the rate limit of the store.
	storeLoadsPerMinute = 60
	// peakLimit is the maximum number of requests to the store in any second.
	peakLimit = 40
)

// memoryEngine is an engine without I/O.
type memoryEngine struct {
	mu       sync.Mutex
	state    engine.State
	loadedAt time.Time
}

func (e *memoryEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *memoryEngine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Fence = max(e.state.Fence, order.Fence)
	if order.Kind == engine.LoadVersion {
		e.state.Version = order.Version
		e.loadedAt = time.Now()
	}
	return nil
}

func (e *memoryEngine) has(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Version == version
}

// requestCounter counts the requests in each second.
type requestCounter struct {
	mu      sync.Mutex
	seconds map[int64]int
	total   int
}

func (c *requestCounter) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.seconds[time.Now().Unix()]++
		c.total++
		c.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

func (c *requestCounter) peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := 0
	for _, n := range c.seconds {
		peak = max(peak, n)
	}
	return peak
}

// rollout is the measured result of one rollout.
type rollout struct {
	took           time.Duration
	requests, peak int
}

// measureRollout rolls out a new version to count engines and measures it.
func measureRollout(t *testing.T, count int, store *standinweights.Server) rollout {
	var result rollout
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var pipe serving.Pipe
		var group errgroup.Group
		counter := &requestCounter{seconds: make(map[int64]int)}
		group.Go(func() error { return pipe.Serve(ctx, counter.count(store.Handler())) })
		client := pipe.Client()
		log := &configLog{}
		engines := make([]*memoryEngine, count)
		processes := make([]*localConfiguration, count)
		for i := range count {
			engines[i] = &memoryEngine{state: engine.State{Fence: 1, Model: modelName, Version: "1", Role: "Serving"}}
			processes[i] = &localConfiguration{log: log}
			processes[i].receive(configurationOf(1, "1", count))
			r := &Reconciler{
				Model:         modelName,
				Configuration: processes[i],
				Engine:        engines[i],
				ChecksFencing: true,
				Store:         &weights.Client{Address: "store", HTTP: client},
			}
			group.Go(func() error { return r.Run(ctx) })
		}
		begin := time.Now()
		next := configurationOf(2, "2", count)
		publishTo(processes, next)
		waitForAll(engines, "2")
		result = rollout{took: latest(engines).Sub(begin), requests: counter.total, peak: counter.peak()}
		cancel()
		client.CloseIdleConnections()
		is.NoErr(group.Wait())
	})
	return result
}

func publishTo(processes []*localConfiguration, configuration configversion.Configuration) {
	for _, p := range processes {
		p.receive(configuration)
	}
}

func waitForAll(engines []*memoryEngine, version string) {
	for _, e := range engines {
		for !e.has(version) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func latest(engines []*memoryEngine) time.Time {
	var last time.Time
	for _, e := range engines {
		if e.loadedAt.After(last) {
			last = e.loadedAt
		}
	}
	return last
}

// TestRollout logs the duration and the store's load of the rollout of a new version,
// and checks that the requests per second stay below peakLimit and that each engine
// loads the weights once.
func TestRollout(t *testing.T) {
	tests := []struct {
		name       string
		waitMillis int
	}{
		{"store refuses immediately", 0},
		{"store delays up to 5 s", 5000},
	}
	for _, tt := range tests {
		for _, count := range []int{10, 100, 900} {
			if testing.Short() && count > 100 {
				continue
			}
			store := &standinweights.Server{LoadsPerMinute: storeLoadsPerMinute, MaxWaitMillis: tt.waitMillis}
			got := measureRollout(t, count, store)
			perMinute := float64(count) / got.took.Minutes()
			t.Logf("%s, %d engines: %s, %.1f loads a minute, %d requests, peak %d a second",
				tt.name, count, got.took.Round(time.Second), perMinute, got.requests, got.peak)
			is := is.New(t)
			is.True(got.peak <= peakLimit)
			is.Equal(store.Loads(standinweights.Weights{Model: modelName, Version: "2"}), count)
		}
	}
}
