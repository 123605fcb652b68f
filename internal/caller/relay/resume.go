package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/enginereport"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/pauseforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// overlapMillis is the time for which the server that a stream comes from may go on with the request
// after it was sent to another one, whose answer has not begun. If the other one declines it meanwhile,
// the stream can still stay where it is.
const overlapMillis = 100

// migrationWaitMillis is the time for which a stream waits for the migration of its run,
// after the stream was broken by an engine that is about to shut down.
const migrationWaitMillis = 1200

// resume resumes a stream that broke: at the copy of a migrated run, or, if the
// route is resumable, as a new generation after the last event. It returns false
// when neither is possible.
func (s *stream) resume(ctx context.Context, cause error) bool {
	return s.resumeMigrated(ctx, cause) || s.regenerateOnce(ctx, cause)
}

// regenerateOnce resumes the stream as a new generation at one other server. It returns false when no
// server continues it. One that did not run the request is followed by another one.
func (s *stream) regenerateOnce(ctx context.Context, cause error) bool {
	runs := s.request.runs
	for dials := 0; dials < maxDials && s.request.runs == runs && ctx.Err() == nil; dials++ {
		if !s.mayRegenerate(cause) {
			return false
		}
		if s.regenerate(ctx) {
			return true
		}
	}
	return false
}

// mayRegenerate reports whether the stream may be resumed as a new generation.
func (s *stream) mayRegenerate(cause error) bool {
	q := s.request
	return q.route.Resumable && q.runs < q.route.MaxAttempts && !q.suspected() && q.allowRetry(lost{cause})
}

// regenerate resumes the stream as a new generation at another server.
func (s *stream) regenerate(ctx context.Context) bool {
	q := s.request
	next, _ := q.placeAnywhere()
	if next == nil {
		return false
	}
	q.tried[next.server.ID] = true
	lastEvent := s.events.lastID
	if lastEvent == "" {
		lastEvent = q.caller.LastEvent
	}
	return s.open(ctx, next, platform.ServerRequest{LastEvent: lastEvent})
}

// resumeMigrated waits for the migration of the run and resumes the stream at the
// destination. If the destination does not continue the run, the stream is resumed
// at the engine that stopped it.
func (s *stream) resumeMigrated(ctx context.Context, cause error) bool {
	wait, stop := context.WithDeadline(ctx, time.Now().Add(migrationWaitMillis*time.Millisecond))
	defer stop()
	migration, ok := s.awaitMigration(wait, cause)
	if !ok {
		return false
	}
	s.request.log("migrated stream is being resumed", "From", s.attempt.server.Address, "To", migration.Destination,
		"LastEvent", s.events.lastID, "Stopped", migration.Stopped, "Cause", cause)
	resumption := platform.ServerRequest{LastEvent: s.events.lastID, ContinueFrom: migration.Source}
	for _, address := range []string{migration.Destination, migration.Source.Address} {
		if next, ok := s.attemptAt(wait, address); ok && s.open(ctx, next, resumption) {
			return true
		}
	}
	return false
}

// awaitMigration returns the migration of the run by which the stream can be resumed, if there is one. The
// engine's monitor is asked, as the message about the stop may have missed this host, and again each
// askAgainMillis, as the connection to it may be opened anew.
func (s *stream) awaitMigration(ctx context.Context, cause error) (Migration, bool) {
	run := s.attempt.call.run
	migration, announced := run.Latest()
	asked := errors.Is(cause, errEndUnknown)
	if (announced && migration.Stopped) || asked || s.request.service.Engine == nil {
		return migration, announced && migration.resumable()
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(time.Duration(s.patienceMillis(migration))*time.Millisecond))
	defer stop()
	for {
		s.request.relay.AskEnded(s.attempt.server, s.request.caller.ID, run.number)
		again, cancel := context.WithDeadline(ctx, time.Now().Add(askAgainMillis*time.Millisecond))
		latest, known := run.AwaitStopped(again, s.request.relay.isLeaving(s.attempt.server))
		cancel()
		if known || ctx.Err() != nil {
			return latest, latest.resumable()
		}
	}
}

// patienceMillis returns the time for which a stream waits for a word about its run. Without a sign of a
// migration, a stream that can go on as a new generation does not wait for long.
func (s *stream) patienceMillis(latest Migration) int64 {
	expected := s.request.relay.isLeaving(s.attempt.server) && !latest.Final
	if !expected && s.request.route.Resumable && s.request.runs < s.request.route.MaxAttempts {
		return askAgainMillis
	}
	return migrationWaitMillis
}

// attemptAt opens an assignment at the engine with an address, if need be as soon as the
// engine accepts requests again. It returns false when the address belongs to no known server,
// the server's zone is being evacuated, or ctx ends.
func (s *stream) attemptAt(ctx context.Context, address string) (*attempt, bool) {
	if address == "" {
		return nil, false
	}
	server, ok := s.request.relay.serverAt(address)
	// The current engine may have left the discovery list, as it is about to shut
	// down.
	if address == s.attempt.server.Address {
		server, ok = s.attempt.server, true
	}
	if !ok || s.request.relay.StoreWatcher.Evacuated(server.Zone) {
		return nil, false
	}
	generation := s.generation()
	assignment, ok := s.awaitAssignment(ctx, server, generation.ExpectedTokens())
	if !ok {
		return nil, false
	}
	s.request.relay.OnPlaced(server.ID, s.request.caller.ID, generation)
	return &attempt{server: server, assignment: assignment}, true
}

// awaitAssignment opens an assignment as soon as the server accepts a request. It returns
// false when it never will, or when ctx ends before.
func (s *stream) awaitAssignment(ctx context.Context, server discovery.BackendServer, tokens int) (*placement.Assignment, bool) {
	for {
		now := boottime.Now()
		assignment, until := s.request.relay.LoadTable.OpenAt(server, tokens, now)
		if assignment != nil {
			return assignment, true
		}
		if until == 0 {
			return nil, false
		}
		s.request.log("stream waits until backend server accepts requests", "Server", server.ID, "UntilMillis", until.MillisSince(now))
		boottime.Pause(ctx, max(until.MillisSince(now), 1))
		if ctx.Err() != nil {
			return nil, false
		}
	}
}

// serverAt returns the server with an address from the discovery list.
func (r *Relay) serverAt(address string) (discovery.BackendServer, bool) {
	for _, server := range r.StoreWatcher.Servers().List.All() {
		if server.Address == address {
			return server, true
		}
	}
	return discovery.BackendServer{}, false
}

// open sends the request to a further server. If the server continues the stream,
// it becomes the new source. Two servers do not work on the request for longer than overlapMillis.
func (s *stream) open(ctx context.Context, next *attempt, r platform.ServerRequest) bool {
	source := s.attempt.call
	limit := time.AfterFunc(overlapMillis*time.Millisecond, source.Close)
	call, err := s.request.open(ctx, next.server, r)
	limit.Stop()
	if err != nil {
		s.request.log("stream not resumed at backend server", "Server", next.server.ID, "Error", err)
		next.close(ctx.Err() == nil)
		if !errors.Is(err, ErrNotSent) {
			s.request.noticeBroken(ctx, next.server, s.events.count, err)
		}
		return false
	}
	next.call = call
	if call.Answer.StatusCode != http.StatusOK {
		s.request.log("stream not resumed at backend server", "Server", next.server.ID, "Status", call.Answer.StatusCode)
		next.close(false)
		return false
	}
	call.onSilence = func() bool { return s.staysAfterSilence(ctx) }
	s.attempt.close(false)
	s.attempt = next
	s.events.discardPartial()
	s.eventsBefore = s.events.count
	s.expectEvent()
	s.interrupted = true
	s.recentPauses = pauseforecast.Recent{}
	s.resumptions++
	s.request.registration.Follow(call.run, s.generation)
	s.request.relay.noticeLeaving(next.server)
	return true
}

// noticeLeaving calls OnLeaving if an engine that a stream now comes from is about to shut
// down, or is not listed any more.
func (r *Relay) noticeLeaving(server discovery.BackendServer) {
	if r.mayLeave(server) {
		r.OnLeaving()
	}
}

// noticeReport records the shutdown that the report of an engine announces.
func (r *Relay) noticeReport(server discovery.BackendServer, report enginereport.Report) {
	listed, ok := r.StoreWatcher.Servers().List.Find(server.ID)
	same := ok && listed.BornUnixMillis == server.BornUnixMillis && report.BornUnixMillis == server.BornUnixMillis
	if !same || !report.Leaving || r.LoadTable.Leaving(server.ID) {
		return
	}
	r.Log.Info("engine reports its shutdown", "Server", server.ID, "InMillis", report.LeavesInMillis)
	r.LoadTable.SetLeaving(server.ID, report.AskedAt.AddMillis(max(report.LeavesInMillis, 0)))
}

// mayLeave reports whether an engine is about to shut down, or is not listed any more.
func (r *Relay) mayLeave(server discovery.BackendServer) bool {
	_, listed := r.StoreWatcher.Servers().List.Find(server.ID)
	return !listed || r.isLeaving(server)
}

// isLeaving reports whether an engine is about to shut down, by its monitor, its entry or its
// answers.
func (r *Relay) isLeaving(server discovery.BackendServer) bool {
	listed, _ := r.StoreWatcher.Servers().List.Find(server.ID)
	return listed.State == discovery.Draining || r.LoadTable.Leaving(server.ID) ||
		r.LoadTable.Pauses.Status(server, boottime.Now()).Leaving
}
