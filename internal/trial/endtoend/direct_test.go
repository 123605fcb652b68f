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

// directReader times the tokens of an engine without the system between.
type directReader struct {
	engine *timestampEngine
	client *engine.Client
	// countFrom is the time from which tokens are counted.
	countFrom time.Time

	mu   sync.Mutex
	ages []time.Duration
	gaps []time.Duration
}

// measureDirect reads from the engine itself, at the rates of measureTokens.
// What its figures show is the machine and the measurement, not the system.
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
			t.Logf("%d streams from the engine: tokens p50 %v, p95 %v, p99 %v; gap p50 %v, p95 %v", streams,
				percentile(r.ages, 50), percentile(r.ages, 95), percentile(r.ages, 99),
				percentile(r.gaps, 50), percentile(r.gaps, 95))
		})
	}
}

// read keeps so many streams open for the length of a measurement.
func (r *directReader) read(streams int) error {
	ctx, stop := context.WithDeadline(context.Background(), r.countFrom.Add(relaySeconds*time.Second))
	defer stop()
	var group errgroup.Group
	for n := range streams {
		group.Go(func() error { return r.stream(ctx, n) })
	}
	return group.Wait()
}

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
