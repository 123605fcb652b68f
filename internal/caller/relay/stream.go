package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// migrationWaitMillis is the time for which a stream waits for the migration
	// of its run, after the stream was broken by an engine that is about to shut
	// down.
	migrationWaitMillis = 1200
	// eventTimeoutMillis is the time without data after which a stream that has
	// sent its first event is closed as dead.
	eventTimeoutMillis = 2500
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 8 << 10
)

// stream forwards the events of an answer to the caller.
type stream struct {
	request *request
	// attempt is the current source of the stream.
	attempt      *attempt
	events       eventSplitter
	registration *Registration
	// header is the header of the first answer. It is written with the first
	// event.
	header http.Header
	// produced is the number of tokens in the events that were sent to the caller.
	produced atomic.Int64
	// sample records the output for the estimates of further requests.
	sample *outputestimate.Sample
	// resumptions counts how often the stream was resumed, at a copy of its run or
	// as a new generation.
	resumptions int
	// lastEventAt is the time of the newest event; zero before the first one.
	lastEventAt boottime.Instant
	// firstMillis is the time from the arrival of the request to the first event.
	// pauseMillis is the longest pause between two events.
	firstMillis int64
	pauseMillis int64
	// series is set with the first event.
	series *metrics.Series
}

// errCallerGone marks a failure to send events to the caller.
var errCallerGone = errors.New("events cannot be sent to the caller")

// stream forwards the events of an answer to the caller. When the stream breaks, it
// is resumed at another backend server if possible.
func (q *request) stream(ctx context.Context, a *attempt) outcome {
	s := &stream{request: q, attempt: a, header: platform.CallerHeader(a.call.Answer.Header)}
	s.registration = q.relay.Migrations.Register(q.caller.ID, a.server.Address, s.generation)
	defer s.registration.Unregister()
	s.sample = q.relay.Outputs.Begin(q.route.Name, q.caller.HintTokens, q.caller.MaxOutputTokens)
	complete := false
	defer func() { s.sample.End(complete) }()
	for {
		err := s.forwardAll(ctx)
		if err == nil {
			complete = true
			return s.complete()
		}
		s.events.discardPartial()
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return s.abandon(ctx, err)
		}
		if !s.resume(ctx, err) {
			return s.abandon(ctx, err)
		}
	}
}

// generation returns the generation of the stream as it is now.
func (s *stream) generation() placement.Generation {
	return s.request.generation(int(s.produced.Load()))
}

// complete ends the caller's answer after the last event.
func (s *stream) complete() outcome {
	s.attempt.close(false)
	s.begin()
	s.request.exchange.End()
	s.request.relay.Metrics.CountResult(uint32(resultcode.OK))
	s.request.log("streamed", "Server", s.attempt.server.ID, "LastEvent", s.events.lastID, "Moves", s.resumptions,
		"FirstMillis", s.firstMillis, "AimMillis", s.request.route.FirstEventMillis,
		"PauseMillis", s.pauseMillis, "MaxPauseMillis", s.request.route.MaxPauseMillis)
	return streamed{}
}

// abandon ends a stream that cannot be resumed. If the answer has begun, it is
// aborted; otherwise the caller can still get an error.
func (s *stream) abandon(ctx context.Context, err error) outcome {
	s.attempt.close(failedByServer(ctx, err))
	s.request.log("stream lost", "Server", s.attempt.server.ID, "LastEvent", s.events.lastID,
		"Moves", s.resumptions, "Error", err)
	if !s.request.exchange.Begun() {
		return lost{err}
	}
	s.request.relay.Metrics.CountResult(uint32(resultcode.GenerationLost))
	s.request.exchange.Abort()
	return streamed{}
}

// failedByServer reports whether a stream broke because of the backend server
// rather than because of its deadline or its caller.
func failedByServer(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errCallerGone)
}

// begin writes the status and the header of the caller's answer unless they were
// written before.
func (s *stream) begin() {
	if !s.request.exchange.Begun() {
		s.request.exchange.Begin(http.StatusOK, s.header)
	}
}

// forwardAll forwards events until the answer ends. It returns nil only when the
// answer is complete.
func (s *stream) forwardAll(ctx context.Context) error {
	buffer := make([]byte, streamBufferBytes)
	body := s.attempt.call.Answer.Body
	for {
		if err := s.setReadDeadline(); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if sendErr := s.forward(buffer[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) && len(s.events.pending) == 0 {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// forward sends the events that data completes to the caller.
func (s *stream) forward(data []byte) error {
	events, err := s.events.add(data)
	if err != nil || len(events) == 0 {
		return err
	}
	s.begin()
	s.recordEventTime(boottime.Now())
	if err := s.request.exchange.Send(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	produced := s.events.count * max(s.request.service.Engine.TokensPerEvent, 1)
	s.produced.Store(int64(produced))
	s.sample.SetProduced(produced)
	return nil
}

// recordEventTime records the arrival of events in the metrics.
func (s *stream) recordEventTime(now boottime.Instant) {
	if s.lastEventAt == 0 {
		s.series = s.request.series()
		s.firstMillis = now.MillisSince(s.request.arrivedAt)
		s.series.FirstToken(time.Duration(s.firstMillis) * time.Millisecond)
		s.attempt.assignment.MarkStarted(now)
	} else {
		pause := now.MillisSince(s.lastEventAt)
		s.series.BetweenTokens(time.Duration(pause) * time.Millisecond)
		s.pauseMillis = max(s.pauseMillis, pause)
	}
	s.lastEventAt = now
}

// setReadDeadline sets the time by which the next data must arrive, if the stream
// has sent an event and can be resumed at another server. Otherwise only the
// deadline of the request applies.
func (s *stream) setReadDeadline() error {
	q := s.request
	if s.produced.Load() == 0 || !q.route.Resumable || len(q.tried) >= q.route.MaxAttempts {
		return s.attempt.call.conn.SetReadDeadline(time.Time{})
	}
	return s.attempt.call.conn.SetReadDeadline(time.Now().Add(eventTimeoutMillis * time.Millisecond))
}

// resume resumes a stream that broke: at the copy of a migrated run, or, if the
// route is resumable, as a new generation after the last event. It returns false
// when neither is possible.
func (s *stream) resume(ctx context.Context, cause error) bool {
	if s.resumeMigrated(ctx, cause) {
		return true
	}
	q := s.request
	if !q.route.Resumable || len(q.tried) >= q.route.MaxAttempts {
		return false
	}
	if !q.allowRetry(lost{cause}) {
		return false
	}
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
	leaving := s.request.relay.LoadTable.Leaving(s.attempt.server.ID)
	migration, announced, _ := s.registration.Latest()
	if !announced && !leaving {
		return false
	}
	wait, stop := context.WithDeadline(ctx, time.Now().Add(migrationWaitMillis*time.Millisecond))
	defer stop()
	if !announced || !migration.Stopped {
		migration, announced = s.registration.AwaitStopped(wait)
	}
	if !announced {
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

// attemptAt opens an assignment at the engine with an address, if need be as soon as the
// engine's rate limit allows. It returns false when the address belongs to no known server
// or ctx ends.
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
	if !ok {
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

// awaitAssignment opens an assignment as soon as the server's rate limit allows. It returns
// false when ctx ends before.
func (s *stream) awaitAssignment(ctx context.Context, server discovery.BackendServer, tokens int) (*placement.Assignment, bool) {
	for {
		now := boottime.Now()
		assignment, until := s.request.relay.LoadTable.OpenAt(server.ID, tokens, now)
		if assignment != nil {
			return assignment, true
		}
		s.request.log("stream waits for rate limit of backend server", "Server", server.ID, "UntilMillis", until.MillisSince(now))
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
// it becomes the new source.
func (s *stream) open(ctx context.Context, next *attempt, r platform.ServerRequest) bool {
	call, err := s.request.open(ctx, next.server, r)
	if err != nil {
		s.request.log("stream not resumed at backend server", "Server", next.server.ID, "Error", err)
		next.close(ctx.Err() == nil)
		return false
	}
	next.call = call
	if call.Answer.StatusCode != http.StatusOK {
		s.request.log("stream not resumed at backend server", "Server", next.server.ID, "Status", call.Answer.StatusCode)
		next.close(false)
		return false
	}
	s.attempt.close(false)
	s.attempt = next
	s.resumptions++
	s.registration.SetEngine(next.server.Address)
	return true
}
