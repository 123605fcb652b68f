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
	// callerWriteTimeoutMillis bounds one write to a caller that takes no more bytes.
	callerWriteTimeoutMillis = 10000
	// headerLastEvent carries the last position that a returning caller has.
	headerLastEvent = "Last-Event-ID"
	// resumeClass stands for the class in the measurement of a resumed answer.
	resumeClass = "Resume"
)

// stream writes an answer as server-sent events. The id of each event is the
// count of tokens delivered so far, so that a caller resumes from it.
type stream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	requestID  string
	model      string
	span       Span
	// position counts the tokens of the caller; only the sink's methods use it.
	position uint64

	// mu guards the writer and what follows, which keepAlive shares.
	mu     sync.Mutex
	begun  bool
	buffer bytes.Buffer
	// sentAt is when the newest event was written.
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

// Alive sends an event without a token, so that the caller can tell a wait
// from a dead path.
func (s *stream) Alive(state message.GenerationState) error {
	name := strings.TrimPrefix(state.String(), "GENERATION_STATE_")
	return s.send(answerPart{
		RequestID: s.requestID,
		Position:  s.position,
		State:     name[:1] + strings.ToLower(name[1:]),
	}, "", nil)
}

// open writes the head of the answer.
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

// end sends the last event, or a refusal where nothing was sent.
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
	// A failure means that the caller is gone, and nothing follows.
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

// flush writes data at once, before the write deadline. The caller holds the
// mutex.
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

// resume continues a generation that another connection or another entry host
// began to deliver. A refusal is about the resume, not about the request of the
// resume token, which has run; so it names no request.
func (a *API) resume(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	t, err := resumetoken.Decode(mux.Vars(r)["ticket"])
	if err != nil {
		writeRefusal(w, "", resultcode.New(resultcode.InvalidRequest, "%v", err))
		return
	}
	from, err := lastPosition(r)
	if err != nil {
		writeRefusal(w, "", resultcode.New(resultcode.InvalidRequest, "%v", err))
		return
	}
	if r.Header.Get(HeaderAccount) != t.Account {
		writeRefusal(w, "", resultcode.New(resultcode.AccountRefused, "the ticket is of another client account"))
		return
	}
	leave, refusal := a.admitResume(t.Account, now)
	if refusal != nil {
		writeRefusal(w, "", refusal)
		return
	}
	defer leave()
	span := a.Observer.Began(t.Account, resumeClass, now)
	sink := newStream(w, t.RequestID, "", span)
	sink.position = from
	sink.open()
	a.run(r.Context(), sink, span, func(ctx context.Context) *resultcode.Result {
		return a.Runner.Resume(ctx, t, from, sink)
	})
}

// admitResume admits a caller that comes back for an answer. It takes a place
// of the entry host, and none of the account's rate.
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

// lastPosition reads the count of tokens that the caller holds.
func lastPosition(r *http.Request) (uint64, error) {
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		return 0, nil
	}
	position, err := strconv.ParseUint(text, 10, 64)
	return position, errors.Wrapf(err, "%s is not a count of tokens", headerLastEvent)
}
