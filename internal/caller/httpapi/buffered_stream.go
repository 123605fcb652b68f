package httpapi

import (
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// bufferedStream is a stream whose tokens are sent only when the generation is
// complete, so that a lost generation of a retryable request can be replaced
// without the caller seeing it.
type bufferedStream struct {
	stream *stream
	texts  []string
}

// Begin sends the resume token and discards the tokens of a lost generation.
func (h *bufferedStream) Begin(t resumetoken.Token) {
	h.texts = nil
	h.stream.Begin(t)
}

// Tokens buffers the tokens.
func (h *bufferedStream) Tokens(_ uint64, text []string) error {
	h.texts = append(h.texts, text...)
	return nil
}

// Alive sends an event without tokens, which reports the state of the generation.
func (h *bufferedStream) Alive(state message.GenerationState) error {
	return h.stream.Alive(state)
}

// end sends the buffered tokens of a complete generation, and the last event.
func (h *bufferedStream) end(result *resultcode.Result) {
	if result.Code.Info().Outcome == resultcode.Complete && len(h.texts) > 0 {
		if h.stream.Tokens(0, h.texts) != nil {
			return
		}
	}
	h.stream.end(result)
}
