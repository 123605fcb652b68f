package httpapi

import (
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// bufferedStream is a stream whose tokens leave only when the answer is whole, so that a
// lost generation of a repeatable request can be replaced unseen.
type bufferedStream struct {
	stream *stream
	texts  []string
}

// Begin sends the resume token and drops the tokens of a generation that was lost.
func (h *bufferedStream) Begin(t resumetoken.Token) {
	h.texts = nil
	h.stream.Begin(t)
}

// Tokens keeps the tokens.
func (h *bufferedStream) Tokens(_ uint64, text []string) error {
	h.texts = append(h.texts, text...)
	return nil
}

// Alive tells the caller that the answer is on its way.
func (h *bufferedStream) Alive(state message.GenerationState) error {
	return h.stream.Alive(state)
}

// end sends the whole answer, or why there is none.
func (h *bufferedStream) end(result *resultcode.Result) {
	if result.Code.Info().Outcome == resultcode.Complete && len(h.texts) > 0 {
		if h.stream.Tokens(0, h.texts) != nil {
			return
		}
	}
	h.stream.end(result)
}
