package httpapi

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// keepAliveHeartbeats is the number of heartbeat intervals without an event after
// which a keep-alive comment is sent on a stream. Heartbeats of the owner arrive
// more often, so a comment is due only when those are missing.
const keepAliveHeartbeats = 3

// responseSink receives the output of a request and writes the response to the
// caller.
type responseSink interface {
	dispatch.Sink
	// keepAlive sends keep-alive comments to the caller until ctx is canceled.
	keepAlive(ctx context.Context, heartbeatMillis int) error
	// responseBegun reports whether a part of the response was sent.
	responseBegun() bool
	// end completes the response with the result of the request.
	end(result *resultcode.Result)
}

// run executes a request, sends keep-alive comments meanwhile, and completes the
// response. A stream that the end of the process cuts is truncated, since its generation
// continues and the caller can resume it at another entry host.
func (a *API) run(r *http.Request, sink responseSink, span Span, execute func(context.Context) *resultcode.Result) {
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return sink.keepAlive(ctx, a.HeartbeatMillis) })
	result := execute(ctx)
	stop()
	// A comment that cannot be written means that the caller has disconnected,
	// which execute detects itself.
	_ = group.Wait()
	span.Ended(result, time.Now())
	if transport.Stopped(r.Context()) && sink.responseBegun() && result.Code.Info().Outcome != resultcode.Complete {
		transport.Abort(r)
	}
	sink.end(result)
}

// keepAlive writes a comment whenever nothing was written for
// keepAliveHeartbeats heartbeat intervals, until ctx is canceled. The caller can
// thus see that the entry host is alive while it looks for an owner or reconnects
// to one.
func (s *stream) keepAlive(ctx context.Context, heartbeatMillis int) error {
	period := time.Duration(keepAliveHeartbeats*heartbeatMillis) * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if err := s.comment(now.Add(-period)); err != nil {
				return err
			}
		}
	}
}

// comment writes a keep-alive comment if the response has begun and nothing was
// written since the given time.
func (s *stream) comment(since time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun || s.sentAt.After(since) {
		return nil
	}
	return s.flush([]byte(": alive\n\n"))
}

// keepAlive sends keep-alive comments while the tokens are buffered.
func (b *bufferedStream) keepAlive(ctx context.Context, heartbeatMillis int) error {
	return b.stream.keepAlive(ctx, heartbeatMillis)
}

// keepAlive does nothing, since nothing is sent before the end.
func (b *bufferedAnswer) keepAlive(context.Context, int) error { return nil }
