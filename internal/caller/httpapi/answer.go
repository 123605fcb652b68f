package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Objects and finish reasons of the completions interface.
const (
	objectCompletion = "text_completion"
	finishStop       = "stop"
	finishLength     = "length"
	finishError      = "error"
)

// answer is one JSON answer or one event of a stream.
type answer struct {
	ID          string     `json:"id"`
	Object      string     `json:"object"`
	Model       string     `json:"model,omitempty"`
	Choices     []choice   `json:"choices"`
	Usage       *usage     `json:"usage,omitempty"`
	Fulmarvalve answerPart `json:"fulmarvalve"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens uint64 `json:"completion_tokens"`
}

// answerPart holds the system's fields of an answer.
type answerPart struct {
	RequestID string
	// Ticket lets the caller resume through any entry host; in the first event.
	Ticket  string `json:",omitempty"`
	Backend string `json:",omitempty"`
	// Position is the count of tokens up to and with this event.
	Position uint64 `json:",omitempty"`
	// State is set on events that carry no token.
	State string `json:",omitempty"`
	// Code to RetryAt are set on the last event.
	Code    uint32             `json:",omitempty"`
	Result  string             `json:",omitempty"`
	Outcome resultcode.Outcome `json:",omitempty"`
	Repeat  resultcode.Repeat  `json:",omitempty"`
	Reason  string             `json:",omitempty"`
	RetryAt string             `json:",omitempty"`
}

// refusalBody is the body of an answer that never began.
type refusalBody struct {
	Error       refusalError `json:"error"`
	Fulmarvalve answerPart   `json:"fulmarvalve"`
}

type refusalError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// resultPart fills the fields that describe a result.
func resultPart(requestID string, result *resultcode.Result) answerPart {
	info := result.Code.Info()
	part := answerPart{
		RequestID: requestID,
		Code:      uint32(result.Code),
		Result:    info.Name,
		Outcome:   info.Outcome,
		Repeat:    info.Repeat,
		Reason:    result.Reason,
	}
	if !result.RetryAt.IsZero() {
		part.RetryAt = result.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	return part
}

// writeRefusal writes the final answer of a request that delivered nothing.
func writeRefusal(w http.ResponseWriter, requestID string, result *resultcode.Result) {
	info := result.Code.Info()
	header := w.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set(HeaderResult, strconv.Itoa(int(result.Code)))
	if requestID != "" {
		header.Set(HeaderRequest, requestID)
	}
	if seconds, ok := result.RetryAfterSeconds(time.Now()); ok {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(info.HTTPStatus)
	writeJSON(w, refusalBody{
		Error: refusalError{
			Message: info.Text,
			Type:    string(info.Outcome),
			Code:    info.Name,
		},
		Fulmarvalve: resultPart(requestID, result),
	})
}

// writeJSON writes one value. A failure means that the caller is gone.
func writeJSON(w http.ResponseWriter, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value)
}

// finishReason maps a result to the completions interface.
func finishReason(code resultcode.Code) string {
	switch code {
	case resultcode.OK:
		return finishStop
	case resultcode.OKLength:
		return finishLength
	default:
		return finishError
	}
}

// bufferedAnswer collects an answer that is written at once.
type bufferedAnswer struct {
	writer    http.ResponseWriter
	requestID string
	model     string
	span      Span
	ticket    resumetoken.Token
	text      strings.Builder
	tokens    uint64
}

// Begin starts the answer, anew where a lost generation was replaced.
func (s *bufferedAnswer) Begin(t resumetoken.Token) {
	s.ticket = t
	s.requestID = t.RequestID
	s.text.Reset()
	s.tokens = 0
}

// Tokens adds to the answer.
func (s *bufferedAnswer) Tokens(_ uint64, text []string) error {
	s.span.Tokens(len(text), time.Now())
	for _, t := range text {
		s.text.WriteString(t)
	}
	s.tokens += uint64(len(text))
	return nil
}

// Alive does nothing, since nothing leaves before the end.
func (s *bufferedAnswer) Alive(message.GenerationState) error { return nil }

// end writes the whole answer, or why there is none.
func (s *bufferedAnswer) end(result *resultcode.Result) {
	w := s.writer
	if result.Code.Info().Outcome != resultcode.Complete {
		writeRefusal(w, s.requestID, result)
		return
	}
	header := w.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set(HeaderRequest, s.requestID)
	header.Set(HeaderResult, strconv.Itoa(int(result.Code)))
	reason := finishReason(result.Code)
	part := resultPart(s.requestID, result)
	part.Backend = s.ticket.Backend
	part.Position = s.tokens
	writeJSON(w, answer{
		ID:          s.requestID,
		Object:      objectCompletion,
		Model:       s.model,
		Choices:     []choice{{Text: s.text.String(), FinishReason: &reason}},
		Usage:       &usage{CompletionTokens: s.tokens},
		Fulmarvalve: part,
	})
}
