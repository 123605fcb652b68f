package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// callerWriteTimeoutMillis limits how long one write may block on a caller
	// that does not read.
	callerWriteTimeoutMillis = 10000
	// headerLastEvent carries the position of the last event that a resuming
	// caller has received.
	headerLastEvent = "Last-Event-ID"
	// resumeClass replaces the request class in the metrics of resumed responses.
	resumeClass = "Resume"
)

// stream writes a response as server-sent events. The id of each event is the
// number of tokens delivered so far, from which a caller can resume.
type stream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	requestID  string
	model      string
	span       Span
	// position is the number of tokens that the caller has. Only the goroutine
	// that runs the request uses it.
	position uint64

	// mu guards the writer and the fields below, which keepAlive uses from
	// another goroutine.
	mu     sync.Mutex
	begun  bool
	buffer bytes.Buffer
	// sentAt is when the last event or comment was written.
	sentAt time.Time
}

func newStream(w http.ResponseWriter, requestID, model string, span Span) *stream {
	return &stream{
		writer:     w,
		controller: http.NewResponseController(w),
		requestID:  requestID,
		model:      model,
		span:       span,
	}
}

// Begin sends the first event, which carries the resume token.
func (s *stream) Begin(t resumetoken.Token) {
	s.requestID = t.RequestID
	s.open()
	_ = s.send(answerPart{
		RequestID: t.RequestID,
		Ticket:    t.Encode(),
		Backend:   t.Backend,
	}, "", nil)
}

// Tokens sends one event for the given tokens.
func (s *stream) Tokens(position uint64, text []string) error {
	s.span.Tokens(len(text), time.Now())
	s.position = position + uint64(len(text))
	return s.send(answerPart{RequestID: s.requestID, Position: s.position}, strings.Join(text, ""), nil)
}

// Alive sends an event without tokens, so that the caller can distinguish a
// waiting generation from a broken connection.
func (s *stream) Alive(state message.GenerationState) error {
	name := strings.TrimPrefix(state.String(), "GENERATION_STATE_")
	return s.send(answerPart{
		RequestID: s.requestID,
		Position:  s.position,
		State:     name[:1] + strings.ToLower(name[1:]),
	}, "", nil)
}

// open writes the status line and headers of the response.
func (s *stream) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begun = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequest, s.requestID)
	s.writer.WriteHeader(http.StatusOK)
}

// responseBegun reports whether the head of the response was written.
func (s *stream) responseBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// end sends the last event, or an error response if nothing was sent before.
func (s *stream) end(result *resultcode.Result) {
	if !s.begun {
		writeRefusal(s.writer, s.requestID, result)
		return
	}
	part := resultPart(s.requestID, result)
	part.Position = s.position
	reason := finishReason(result.Code)
	if s.send(part, "", &reason) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A write error means that the caller has disconnected. It is ignored, since
	// nothing else is written.
	_ = s.flush([]byte("data: [DONE]\n\n"))
}

// send writes one event.
func (s *stream) send(part answerPart, text string, reason *string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer.Reset()
	s.buffer.WriteString("id: ")
	s.buffer.WriteString(strconv.FormatUint(s.position, 10))
	s.buffer.WriteString("\ndata: ")
	encoder := json.NewEncoder(&s.buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(answer{
		ID:          s.requestID,
		Object:      objectCompletion,
		Model:       s.model,
		Choices:     []choice{{Text: text, FinishReason: reason}},
		Fulmarvalve: part,
	})
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	s.buffer.WriteByte('\n')
	return s.flush(s.buffer.Bytes())
}

// flush writes and flushes data within the write timeout. The caller must hold
// mu.
func (s *stream) flush(data []byte) error {
	s.sentAt = time.Now()
	deadline := s.sentAt.Add(callerWriteTimeoutMillis * time.Millisecond)
	if err := s.controller.SetWriteDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := s.writer.Write(data); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(s.controller.Flush(), "flush event")
}

// resume continues to deliver a generation whose delivery began on another
// connection, or at another entry host. The request that the resume token names has
// run already. A refusal concerns only the resume, so it carries no request ID.
func (a *API) resume(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	token, err := resumetoken.Decode(mux.Vars(r)["ticket"])
	if err != nil {
		writeRefusal(w, "", resultcode.New(resultcode.InvalidRequest, "%v", err))
		return
	}
	from, err := lastPosition(r)
	if err != nil {
		writeRefusal(w, "", resultcode.New(resultcode.InvalidRequest, "%v", err))
		return
	}
	if r.Header.Get(HeaderAccount) != token.Account {
		writeRefusal(w, "", resultcode.New(resultcode.AccountRefused, "the ticket is of another client account"))
		return
	}
	release, refusal := a.admitResume(token.Account, now)
	if refusal != nil {
		writeRefusal(w, "", refusal)
		return
	}
	defer release()
	span := a.Observer.Began(token.Account, resumeClass, now)
	sink := newStream(w, token.RequestID, "", span)
	sink.position = from
	sink.open()
	a.run(r, sink, span, func(ctx context.Context) *resultcode.Result {
		return a.Runner.Resume(ctx, token, from, sink)
	})
}

// admitResume admits a caller that resumes a response. The resume takes a slot of the
// entry host, possibly one reserved for urgent requests, but does not count against
// the account's rate.
func (a *API) admitResume(accountName string, now time.Time) (func(), *resultcode.Result) {
	document, refusal := a.document(now)
	if refusal != nil {
		return nil, refusal
	}
	account, found := document.Account(accountName)
	if !found {
		return nil, resultcode.New(resultcode.AccountRefused, "client account %q is not configured", accountName)
	}
	account.RequestsPerSecond = 0
	return a.admit(account, operatorfile.Class{Urgent: true}, now)
}

// lastPosition returns the number of tokens that the caller already has.
func lastPosition(r *http.Request) (uint64, error) {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	position, err := strconv.ParseUint(text, 10, 64)
	return position, errors.Wrapf(err, "%s is not a count of tokens", headerLastEvent)
}
