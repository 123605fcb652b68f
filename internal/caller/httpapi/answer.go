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

// Object types and finish reasons of the completions API.
const (
	objectCompletion = "text_completion"
	finishStop       = "stop"
	finishLength     = "length"
	finishError      = "error"
)

// answer is a JSON response, or one event of a streamed response.
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

// answerPart holds the fields of a response that extend the completions API.
type answerPart struct {
	RequestID string
	// Ticket is the resume token, with which the caller can resume the response
	// at any entry host. Only the first event carries it.
	Ticket  string `json:",omitempty"`
	Backend string `json:",omitempty"`
	// Position is the number of tokens delivered up to and including this event.
	Position uint64 `json:",omitempty"`
	// State is set on events that carry no tokens.
	State string `json:",omitempty"`
	// The fields from Code to RetryAt are set on the last event only.
	Code    uint32             `json:",omitempty"`
	Result  string             `json:",omitempty"`
	Outcome resultcode.Outcome `json:",omitempty"`
	Repeat  resultcode.Repeat  `json:",omitempty"`
	Reason  string             `json:",omitempty"`
	RetryAt string             `json:",omitempty"`
}

// refusalBody is the body of an error response to a request of which nothing was
// delivered.
type refusalBody struct {
	Error       refusalError `json:"error"`
	Fulmarvalve answerPart   `json:"fulmarvalve"`
}

type refusalError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// resultPart returns the response fields that describe the result of a request.
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

// writeRefusal writes the error response to a request of which nothing was
// delivered.
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

// writeJSON writes one value. A write error is ignored, since it means that the
// caller has disconnected.
func writeJSON(w http.ResponseWriter, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value)
}

// finishReason returns the finish reason of the completions API for a result.
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

// bufferedAnswer collects a response that is written in one piece at the end.
type bufferedAnswer struct {
	writer    http.ResponseWriter
	requestID string
	model     string
	span      Span
	token     resumetoken.Token
	text      strings.Builder
	tokens    uint64
}

// Begin starts the response. When a new generation replaces a lost one, it
// discards the tokens of the lost one.
func (b *bufferedAnswer) Begin(t resumetoken.Token) {
	b.token = t
	b.requestID = t.RequestID
	b.text.Reset()
	b.tokens = 0
}

// Tokens appends tokens to the response.
func (b *bufferedAnswer) Tokens(_ uint64, text []string) error {
	b.span.Tokens(len(text), time.Now())
	for _, t := range text {
		b.text.WriteString(t)
	}
	b.tokens += uint64(len(text))
	return nil
}

// Alive does nothing, since nothing is sent before the end.
func (b *bufferedAnswer) Alive(message.GenerationState) error { return nil }

// responseBegun returns false, since nothing is sent before the end.
func (b *bufferedAnswer) responseBegun() bool { return false }

// end writes the complete response, or the error response.
func (b *bufferedAnswer) end(result *resultcode.Result) {
	w := b.writer
	if result.Code.Info().Outcome != resultcode.Complete {
		writeRefusal(w, b.requestID, result)
		return
	}
	header := w.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set(HeaderRequest, b.requestID)
	header.Set(HeaderResult, strconv.Itoa(int(result.Code)))
	reason := finishReason(result.Code)
	part := resultPart(b.requestID, result)
	part.Backend = b.token.Backend
	part.Position = b.tokens
	writeJSON(w, answer{
		ID:          b.requestID,
		Object:      objectCompletion,
		Model:       b.model,
		Choices:     []choice{{Text: b.text.String(), FinishReason: &reason}},
		Usage:       &usage{CompletionTokens: b.tokens},
		Fulmarvalve: part,
	})
}
