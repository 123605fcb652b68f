package weights_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// inVirtualTime runs test in virtual time with a client that is connected to s by a
// pipe.
func inVirtualTime(t *testing.T, s *standin.Server, test func(is *is.I, client *weights.Client)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var pipe serving.Pipe
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return pipe.Serve(ctx, s.Handler()) })
		client := &weights.Client{Address: "weights", HTTP: pipe.Client()}
		test(is, client)
		client.HTTP.CloseIdleConnections()
		cancel()
		is.NoErr(g.Wait())
	})
}

func TestLoadWaitsOrIsThrottled(t *testing.T) {
	s := &standin.Server{LoadsPerMinute: 6, Burst: 1, MaxWaitMillis: 10_000, LoadMillis: 500}
	inVirtualTime(t, s, func(is *is.I, client *weights.Client) {
		ctx := context.Background()
		start := time.Now()
		is.NoErr(client.Load(ctx, "coach", "v1"))
		is.Equal(time.Since(start), 500*time.Millisecond)

		var g errgroup.Group
		g.Go(func() error { return client.Load(ctx, "coach", "v1") })
		synctest.Wait()
		err := client.Load(ctx, "coach", "v2")
		var throttled *weights.ThrottledError
		is.True(errors.As(err, &throttled))
		is.Equal(throttled.RetryAt.Sub(start), 20*time.Second+500*time.Millisecond)
		is.NoErr(g.Wait())
		is.Equal(time.Since(start), 10*time.Second+500*time.Millisecond)
		is.Equal(s.Loads(standin.Weights{Model: "coach", Version: "v1"}), 2)
		is.Equal(s.Loads(standin.Weights{Model: "coach", Version: "v2"}), 0)
	})
}

func TestLoadFailures(t *testing.T) {
	s := &standin.Server{Versions: map[string][]string{"coach": {"v1"}}}
	inVirtualTime(t, s, func(is *is.I, client *weights.Client) {
		ctx := context.Background()
		is.True(errors.Is(client.Load(ctx, "coach", "v2"), weights.ErrUnknownWeights))
		s.Faults.LoseAnswers.Store(1)
		is.True(errors.Is(client.Load(ctx, "coach", "v1"), weights.ErrUnavailable))
		is.Equal(s.Loads(standin.Weights{Model: "coach", Version: "v1"}), 1)
		s.Faults.Down.Store(true)
		is.True(errors.Is(client.Load(ctx, "coach", "v1"), weights.ErrUnavailable))
	})
}
