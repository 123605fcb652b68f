package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errSilent says that no event came for eventTimeoutMillis.
var errSilent = errors.New("stream is silent")

// staysAfterSilence is called when no event has come in time. It sends the request to another server,
// from which the stream then goes on. It returns true if the stream stays where it is, as no other server
// takes the request: a silent engine may have preempted the run and go on with it.
func (s *stream) staysAfterSilence(ctx context.Context) bool {
	if time.Now().Before(s.nextEventBy) {
		return s.setReadDeadline() == nil
	}
	q, before := s.request, s.attempt
	_, announced := before.call.run.Latest()
	if announced || q.relay.mayLeave(before.server) {
		return false // resume waits for the migration of the run
	}
	s.switched = s.regenerateOnce(ctx, errSilent)
	stays := !s.switched && !before.call.closed.Load()
	q.log("stream is silent", "Server", before.server.ID, "Events", s.events.count, "Stays", stays, "Next", s.attempt.server.ID)
	if s.switched {
		q.noticeBroken(ctx, before.server, s.events.count, errSilent)
	}
	if !stays {
		return false
	}
	s.expectEvent()
	return s.setReadDeadline() == nil
}
