package httpapi

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
)

// keepAliveHeartbeats is the number of heartbeats after whose time a quiet stream
// gets a comment. An owner's own heartbeats come sooner.
const keepAliveHeartbeats = 3

// answerSink receives an answer and writes its end.
type answerSink interface {
	dispatch.Sink
	// keepAlive tells the caller that the entry host is there, until ctx ends.
	keepAlive(ctx context.Context, heartbeatMillis int) error
	end(result *resultcode.Result)
}

// run runs a request, keeps its caller informed, and writes the end.
func (a *API) run(ctx context.Context, sink answerSink, span Span, run func(context.Context) *resultcode.Result) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return sink.keepAlive(ctx, a.HeartbeatMillis) })
	result := run(ctx)
	stop()
	// A comment that failed means that the caller is gone, which the run sees
	// itself.
	_ = group.Wait()
	span.Ended(result, time.Now())
	sink.end(result)
}

// keepAlive writes a comment whenever nothing was written for some heartbeats,
// until ctx ends, so that a caller hears from the entry host while an owner is
// sought or reached again.
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

// comment writes a comment when the answer has begun and nothing was written
// since the given time.
func (s *stream) comment(since time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun || s.sentAt.After(since) {
		return nil
	}
	return s.flush([]byte(": alive\n\n"))
}

// keepAlive does the same for a stream that is held.
func (h *bufferedStream) keepAlive(ctx context.Context, heartbeatMillis int) error {
	return h.stream.keepAlive(ctx, heartbeatMillis)
}

// keepAlive does nothing, since nothing leaves before the end.
func (s *bufferedAnswer) keepAlive(context.Context, int) error { return nil }
