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
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// migrationWaitMillis is how long a stream that was cut by a leaving engine
	// waits for the announcement of where it goes on.
	migrationWaitMillis = 1200
	// eventTimeoutMillis is the silence after which an engine's stream counts as
	// dead once it has begun.
	eventTimeoutMillis = 2500
	// streamBufferBytes is read from an engine at once.
	streamBufferBytes = 8 << 10
)

// stream passes events on to the caller.
type stream struct {
	request      *request
	attempt      *attempt
	events       eventSplitter
	registration *Registration
	// header is that of the first answer; it is written with the first event.
	header http.Header
	// delivered is the number of bytes of events that the caller was sent.
	delivered atomic.Int64
	// migrations counts how often the stream went on elsewhere.
	migrations int
	// lastEventAt is when the newest event came; zero before the first one.
	lastEventAt boottime.Instant
	// firstMillis is the time to the first event, and pauseMillis the longest
	// pause between two.
	firstMillis int64
	pauseMillis int64
	// series is set with the first event.
	series *metrics.Series
}

// errCallerGone says that the caller took no more events.
var errCallerGone = errors.New("caller takes no more events")

// stream passes the events of an answer on, and goes on elsewhere when it is
// cut and may be continued.
func (q *request) stream(ctx context.Context, a *attempt) outcome {
	s := &stream{request: q, attempt: a, header: platform.CallerHeader(a.call.Answer.Header)}
	s.registration = q.relay.Migrations.Register(q.caller.ID, a.server.Address, s.estimate)
	defer s.registration.Unregister()
	for {
		err := s.forwardAll(ctx)
		if err == nil {
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

// estimate tells what is expected of the stream. A generation that is past its
// caller's hint goes on for a share of what it has made.
func (s *stream) estimate() Estimate {
	const (
		bytesPerToken = 85
		pastShare     = 2
		// outputWorth is what a generated token is worth in prompt tokens.
		outputWorth = 10
	)
	made := int(s.delivered.Load() / bytesPerToken)
	caller := s.request.caller
	remaining := max(s.request.tokens()-caller.PromptTokens-made, made/pastShare)
	if caller.MaxOutputTokens > 0 {
		remaining = min(remaining, max(caller.MaxOutputTokens-made, 0))
	}
	return Estimate{
		RemainingTokens: remaining,
		Worth:           int64(caller.PromptTokens + outputWorth*(made+remaining)),
	}
}

// complete ends the caller's answer.
func (s *stream) complete() outcome {
	s.attempt.close(false)
	s.begin()
	s.request.exchange.End()
	s.request.relay.Metrics.CountResult(uint32(resultcode.OK))
	s.request.log("streamed", "Server", s.attempt.server.ID, "LastEvent", s.events.lastID, "Moves", s.migrations,
		"FirstMillis", s.firstMillis, "PauseMillis", s.pauseMillis)
	return streamed{}
}

// abandon gives up a stream that cannot go on. Before the first event the
// caller can still be told so.
func (s *stream) abandon(ctx context.Context, err error) outcome {
	s.attempt.close(failedByServer(ctx, err))
	s.request.log("stream lost", "Server", s.attempt.server.ID, "LastEvent", s.events.lastID,
		"Moves", s.migrations, "Error", err)
	if !s.request.exchange.Begun() {
		return lost{err}
	}
	s.request.relay.Metrics.CountResult(uint32(resultcode.GenerationLost))
	s.request.exchange.Abort()
	return streamed{}
}

// failedByServer reports whether it was the backend server that ended a stream,
// rather than its deadline or its caller.
func failedByServer(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errCallerGone)
}

// begin writes the head of the caller's answer once.
func (s *stream) begin() {
	if !s.request.exchange.Begun() {
		s.request.exchange.Begin(http.StatusOK, s.header)
	}
}

// forwardAll passes events on until the answer ends. It returns nil only when the
// answer is whole.
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

// forward sends the whole events among the next bytes to the caller.
func (s *stream) forward(data []byte) error {
	whole, err := s.events.add(data)
	if err != nil || len(whole) == 0 {
		return err
	}
	s.begin()
	s.recordEventTime(boottime.Now())
	if err := s.request.exchange.Send(whole); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	s.delivered.Add(int64(len(whole)))
	return nil
}

// recordEventTime notes that events came.
func (s *stream) recordEventTime(now boottime.Instant) {
	if s.lastEventAt == 0 {
		s.series = s.request.series()
		s.firstMillis = now.MillisSince(s.request.arrivedAt)
		s.series.FirstToken(time.Duration(s.firstMillis) * time.Millisecond)
		s.attempt.assignment.MarkStarted()
	} else {
		pause := now.MillisSince(s.lastEventAt)
		s.series.BetweenTokens(time.Duration(pause) * time.Millisecond)
		s.pauseMillis = max(s.pauseMillis, pause)
	}
	s.lastEventAt = now
}

// setReadDeadline sets the time by which the next event must come, when the
// stream could go on elsewhere. Another one, and the wait for the first event,
// are bounded by the request's deadline only.
func (s *stream) setReadDeadline() error {
	q := s.request
	if s.delivered.Load() == 0 || !q.route.Resumable || len(q.tried) >= q.route.MaxAttempts {
		return s.attempt.call.conn.SetReadDeadline(time.Time{})
	}
	return s.attempt.call.conn.SetReadDeadline(time.Now().Add(eventTimeoutMillis * time.Millisecond))
}

// resume continues a stream that was cut: at the copy of a moved generation, or,
// when it is resumable, as a new generation after its last event.
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
	next, ok := q.place()
	if !ok {
		return false
	}
	q.tried[next.server.ID] = true
	lastEvent := s.events.lastID
	if lastEvent == "" {
		lastEvent = q.caller.LastEvent
	}
	return s.open(ctx, next, platform.ServerRequest{LastEvent: lastEvent})
}

// resumeMigrated waits for the announcement of a move and goes on there. When the copy does
// not take the generation, the engine that stopped it is asked.
func (s *stream) resumeMigrated(ctx context.Context, cause error) bool {
	leaving := s.request.relay.LoadTable.Leaving(s.attempt.server.ID)
	move, announced, _ := s.registration.Latest()
	if !announced && !leaving {
		return false
	}
	wait, stop := context.WithDeadline(ctx, time.Now().Add(migrationWaitMillis*time.Millisecond))
	defer stop()
	if !announced || !move.Stopped {
		move, announced = s.registration.AwaitStopped(wait)
	}
	if !announced {
		return false
	}
	s.request.log("stream goes on", "From", s.attempt.server.Address, "To", move.Destination,
		"LastEvent", s.events.lastID, "Stopped", move.Stopped, "Cause", cause)
	handle := platform.ServerRequest{LastEvent: s.events.lastID, ContinueFrom: move.Source}
	for _, address := range []string{move.Destination, move.Source.Address} {
		if next, ok := s.attemptAt(address); ok && s.open(ctx, next, handle) {
			return true
		}
	}
	return false
}

// attemptAt opens an assignment at the engine with an address.
func (s *stream) attemptAt(address string) (*attempt, bool) {
	if address == "" {
		return nil, false
	}
	server, ok := s.request.relay.serverAt(address)
	if address == s.attempt.server.Address {
		server, ok = s.attempt.server, true
	}
	if !ok {
		return nil, false
	}
	now := boottime.Now()
	s.request.relay.OnPlaced(server.ID, s.request.caller.ID, s.request.tokens())
	return &attempt{server: server, assignment: s.request.relay.LoadTable.OpenAt(server.ID, s.request.tokens(), now)}, true
}

// serverAt returns the listed server with an address.
func (r *Relay) serverAt(address string) (discovery.BackendServer, bool) {
	for _, server := range r.StoreWatcher.Servers().List.All() {
		if server.Address == address {
			return server, true
		}
	}
	return discovery.BackendServer{}, false
}

// open sends the request to a further server and, when that one goes on with
// the stream, takes it as the new source.
func (s *stream) open(ctx context.Context, next *attempt, r platform.ServerRequest) bool {
	call, err := Open(ctx, s.request.outbound(next.server, r))
	if err != nil {
		s.request.log("stream not continued", "Server", next.server.ID, "Error", err)
		next.close(ctx.Err() == nil)
		return false
	}
	next.call = call
	if call.Answer.StatusCode != http.StatusOK {
		s.request.log("stream not continued", "Server", next.server.ID, "Status", call.Answer.StatusCode)
		next.close(false)
		return false
	}
	s.attempt.close(false)
	s.attempt = next
	s.migrations++
	s.registration.SetEngine(next.server.Address)
	return true
}
