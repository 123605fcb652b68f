package httpapi

import (
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// bufferedStream is a stream whose tokens are sent only when the generation is
// complete, so that a lost generation of an idempotent request can be replaced
// without the caller seeing it.
type bufferedStream struct {
	stream *stream
	texts  []string
}

// Begin sends the resume token and discards the tokens of a lost generation.
func (b *bufferedStream) Begin(t resumetoken.Token) {
	b.texts = nil
	b.stream.Begin(t)
}

// Tokens buffers the tokens.
func (b *bufferedStream) Tokens(_ uint64, text []string) error {
	b.texts = append(b.texts, text...)
	return nil
}

// Alive sends an event without tokens, which reports the state of the generation.
func (b *bufferedStream) Alive(state message.GenerationState) error {
	return b.stream.Alive(state)
}

// responseBegun reports whether the head of the response was written.
func (b *bufferedStream) responseBegun() bool { return b.stream.responseBegun() }

// end sends the buffered tokens of a complete generation, and the last event.
func (b *bufferedStream) end(result *resultcode.Result) {
	if result.Code.Info().Outcome == resultcode.Complete && len(b.texts) > 0 {
		if b.stream.Tokens(0, b.texts) != nil {
			return
		}
	}
	b.stream.end(result)
}
