package endtoend

import (
	"context"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// directReader measures token delays on connections straight to an engine,
// without an entry host or a process beside the engine.
type directReader struct {
	engine *timestampEngine
	client *engine.Client
	// countFrom is the time after which tokens are recorded.
	countFrom time.Time

	mu   sync.Mutex
	ages []time.Duration
	gaps []time.Duration
}

// measureDirect reads from the engine directly, at the rates of measureTokens.
// The results are the baseline: the delays of the machine and of the measurement
// itself.
func measureDirect(t *testing.T) {
	for _, streams := range []int{70, 140, 280} {
		t.Run("", func(t *testing.T) {
			d := &deployment{t: t, pool: newAddressPool(t)}
			r := &directReader{engine: newTimestampEngine(tokenIntervalMillis), countFrom: time.Now().Add(settleSeconds * time.Second)}
			listener := &serving.Listener{Address: d.pool.next(), Handler: r.engine}
			d.serve(listener)
			r.client = &engine.Client{Address: listener.Addr()}
			if err := r.read(streams); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d streams from the engine: token delay p50 %v, p95 %v, p99 %v; time between tokens p50 %v, p95 %v", streams,
				percentile(r.ages, 50), percentile(r.ages, 95), percentile(r.ages, 99),
				percentile(r.gaps, 50), percentile(r.gaps, 95))
		})
	}
}

// read keeps the given number of streams open until the measurement ends.
func (r *directReader) read(streams int) error {
	ctx, stop := context.WithDeadline(context.Background(), r.countFrom.Add(relaySeconds*time.Second))
	defer stop()
	var group errgroup.Group
	for n := range streams {
		group.Go(func() error { return r.stream(ctx, n) })
	}
	return group.Wait()
}

// stream reads one endless answer and records its tokens until ctx ends.
func (r *directReader) stream(ctx context.Context, number int) error {
	const endless = 100_000
	request := engine.Request{ID: accountName(number), Prompt: promptOf(endless, number)}
	stream, err := r.client.Generate(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	previous := time.Now()
	for {
		event, err := stream.Next()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		token, ok := event.(engine.Token)
		if !ok {
			continue
		}
		now := time.Now()
		r.record(token.Text, now.Sub(previous))
		previous = now
	}
}

func (r *directReader) record(text string, gap time.Duration) {
	ages := r.engine.ages(text)
	if time.Now().Before(r.countFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ages = append(r.ages, ages...)
	r.gaps = append(r.gaps, gap)
}
