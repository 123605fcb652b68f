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
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/pauseforecast"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// eventTimeoutMillis is the time without a complete event after which a stream that
	// has sent its first event is closed as dead.
	eventTimeoutMillis = 2500
	// slowSendMillis is the time for sending an event to the caller above which the pause
	// before the next event counts as the caller's.
	slowSendMillis = 20
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 8 << 10
)

// stream forwards the events of an answer to the caller.
type stream struct {
	request *request
	// attempt is the current source of the stream.
	attempt *attempt
	events  eventSplitter
	// eventsBefore is the number of events that came from sources before the current one.
	eventsBefore int
	// switched is set when the stream went on at another server while the answer of the one before
	// was read.
	switched bool
	// header is the header of the first answer. It is written with the first
	// event.
	header http.Header
	// produced is the number of tokens in the events that were sent to the caller. It is zero at a
	// plain service.
	produced atomic.Int64
	// sample records the output for the estimates of further requests.
	sample *outputestimate.Sample
	// resumptions counts how often the stream was resumed, at a copy of its run or
	// as a new generation.
	resumptions int
	// nextEventBy is the time by which the next event must be complete if the stream can
	// be resumed elsewhere. It is set whenever the caller has taken an event, so that
	// neither bytes of no event nor a slow caller change it.
	nextEventBy time.Time
	// lastEventAt is the time of the newest event; zero before the first one.
	lastEventAt boottime.Instant
	// interrupted says that the pause since the newest event is not the engine's alone, as
	// the stream was resumed elsewhere or the caller was slow to take the event.
	interrupted bool
	// recentPauses holds the last pauses at the current engine.
	recentPauses pauseforecast.Recent
	// firstMillis is the time from the arrival of the request to the first event.
	// pauseMillis is the longest pause between two events.
	firstMillis int64
	pauseMillis int64
	// series is set with the first event.
	series *metrics.Series
}

// errServerEnded marks an error of an answer whose server has ended.
var errServerEnded = errors.New("backend server has ended")

// errCallerGone marks a failure to send events to the caller.
var errCallerGone = errors.New("events cannot be sent to the caller")

// stream forwards the events of an answer to the caller. When the stream breaks, it
// is resumed at another backend server if possible.
func (q *request) stream(ctx context.Context, a *attempt) outcome {
	s := &stream{request: q, attempt: a, header: platform.CallerHeader(a.call.Answer.Header)}
	a.call.onSilence = func() bool { return s.staysAfterSilence(ctx) }
	q.registration.Follow(a.call.run, s.generation)
	q.relay.noticeLeaving(a.server)
	s.sample = q.relay.Outputs.Begin(q.route.Name, q.caller.HintTokens, q.caller.MaxOutputTokens)
	complete := false
	defer func() { s.sample.End(complete) }()
	for {
		err := s.forwardAll(ctx)
		if err == nil {
			complete = true
			return s.complete()
		}
		if s.switched {
			s.switched = false
			continue
		}
		s.events.discardPartial()
		s.request.avoidGarbled(s.attempt.server, err)
		s.request.noticeBroken(ctx, s.attempt.server, s.events.count, err)
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
	s.request.markAnswered(s.attempt.server.ID, true)
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
		if s.switched {
			return err
		}
		if sendErr := s.forward(ctx, buffer[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) && len(s.events.pending) == 0 {
			return s.checkEnd(ctx)
		}
		if err != nil {
			return errors.Wrap(s.attempt.call.heldError(err), "read stream")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// checkEnd returns an error if an answer that ended between two events was broken off. One that
// ends with its connection shows that if it has no event of its own, also after those of other sources.
func (s *stream) checkEnd(ctx context.Context) error {
	if s.attempt.call.endsWithConnection() && s.events.count == s.eventsBefore {
		return errBrokenOff
	}
	return s.request.checkEnd(ctx, s.attempt)
}

// forward sends the events that data completes to the caller.
func (s *stream) forward(ctx context.Context, data []byte) error {
	before, heldBytes := s.events.count, s.events.heldBytes()
	events, err := s.events.add(data)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return s.hold(ctx)
	}
	call := s.attempt.call
	if heldBytes > 0 {
		call.held.Complete(call.headBytes + int64(cap(events))) // until they are sent
		defer call.held.Keep(call.headBytes)
	}
	s.begin()
	s.recordEventTime(s.events.count-before, boottime.Now())
	if err := s.request.exchange.Send(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	s.interrupted = boottime.Now().MillisSince(s.lastEventAt) > slowSendMillis
	s.expectEvent()
	produced := s.request.service.OutputTokens(s.events.count)
	s.produced.Store(int64(produced))
	s.sample.SetProduced(produced)
	return s.hold(ctx)
}

// hold takes the memory for the event that is not complete.
func (s *stream) hold(ctx context.Context) error {
	bytes := s.events.heldBytes()
	if bytes == 0 {
		return nil
	}
	held := s.attempt.call.held
	held.Expect(heldbytes.Event, -1)
	return tooMuchHeld(held.Grow(ctx, bytes))
}

// recordEventTime records the arrival of events, which came together, in the metrics and in
// the model of pauses.
func (s *stream) recordEventTime(events int, now boottime.Instant) {
	if s.lastEventAt == 0 {
		s.series = s.request.series()
		s.firstMillis = now.MillisSince(s.request.arrivedAt)
		s.series.FirstToken(time.Duration(s.firstMillis) * time.Millisecond)
		s.attempt.assignment.MarkStarted(now)
	} else {
		pause := now.MillisSince(s.lastEventAt)
		s.series.BetweenTokens(time.Duration(pause) * time.Millisecond)
		s.pauseMillis = max(s.pauseMillis, pause)
		s.observeEventGap(events, now)
	}
	s.lastEventAt = now
	if now.MillisSince(s.request.arrivedAt)-s.firstMillis >= soundEventMillis {
		s.request.markSound()
	}
}

// observeEventGap takes the pause before the newest events into the model of pauses.
func (s *stream) observeEventGap(events int, now boottime.Instant) {
	if s.interrupted {
		return
	}
	const nanosPerMicro = 1000
	pauseMicros := int64(now-s.lastEventAt) / nanosPerMicro
	s.request.relay.LoadTable.ObservePauses(s.request.service.Name, s.attempt.server.ID, &s.recentPauses, pauseMicros, events, now)
}

// expectEvent sets the time by which the next event must be complete.
func (s *stream) expectEvent() {
	s.nextEventBy = time.Now().Add(eventTimeoutMillis * time.Millisecond)
}

// setReadDeadline applies the time by which the next event must be complete, if the stream
// has sent an event and can be resumed at another server. Otherwise only the
// deadline of the request applies.
func (s *stream) setReadDeadline() error {
	q := s.request
	if s.events.count == 0 || !q.route.Resumable || q.runs >= q.route.MaxAttempts {
		return s.attempt.call.conn.SetReadDeadline(time.Time{})
	}
	return s.attempt.call.conn.SetReadDeadline(s.nextEventBy)
}
