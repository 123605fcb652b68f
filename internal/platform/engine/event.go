package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Values of Finished.Reason. The reason of a failure is ReasonErrorPrefix followed by a
// text.
const (
	// ReasonStop means that the model has ended its output.
	ReasonStop = "stop"
	// ReasonLength means that the output has reached MaxTokens.
	ReasonLength = "length"
	// ReasonErrorPrefix is the prefix of the reason of a failure.
	ReasonErrorPrefix = "error: "
)

// Event is one event of a stream: Token, Preempted, Resumed or Finished.
type Event interface{ isEvent() }

// Token is one token of the output.
type Token struct {
	// RequestID identifies the request.
	RequestID string
	// Position is the position of the token in the generation, from 0.
	Position int
	// Text is the token's text.
	Text string
}

// Preempted reports that the generation was preempted to free memory.
type Preempted struct {
	// RequestID identifies the request.
	RequestID string
}

// Resumed reports that a preempted generation has resumed at the position where it was
// preempted.
type Resumed struct {
	// RequestID identifies the request.
	RequestID string
}

// Finished is the last event of a stream.
type Finished struct {
	// RequestID identifies the request.
	RequestID string
	// Reason is ReasonStop, ReasonLength or a failure.
	Reason string
	// Tokens is the number of tokens of the whole generation.
	Tokens int
}

func (Token) isEvent()     {}
func (Preempted) isEvent() {}
func (Resumed) isEvent()   {}
func (Finished) isEvent()  {}

// envelope is the JSON form of an event.
type envelope struct {
	Kind      string
	RequestID string
	Position  int    `json:",omitempty"`
	Text      string `json:",omitempty"`
	Reason    string `json:",omitempty"`
	Tokens    int    `json:",omitempty"`
}

// Kinds of envelopes.
const (
	kindToken     = "Token"
	kindPreempted = "Preempted"
	kindResumed   = "Resumed"
	kindFinished  = "Finished"
)

// EncodeEvent returns the event as JSON.
func EncodeEvent(event Event) ([]byte, error) {
	switch e := event.(type) {
	case Token:
		return json.Marshal(envelope{Kind: kindToken, RequestID: e.RequestID, Position: e.Position, Text: e.Text})
	case Preempted:
		return json.Marshal(envelope{Kind: kindPreempted, RequestID: e.RequestID})
	case Resumed:
		return json.Marshal(envelope{Kind: kindResumed, RequestID: e.RequestID})
	case Finished:
		return json.Marshal(envelope{Kind: kindFinished, RequestID: e.RequestID, Reason: e.Reason, Tokens: e.Tokens})
	default:
		return nil, errors.Newf("event of type %T", event)
	}
}

// DecodeEvent is the reverse of EncodeEvent.
func DecodeEvent(data []byte) (Event, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode event")
	}
	switch e.Kind {
	case kindToken:
		return Token{RequestID: e.RequestID, Position: e.Position, Text: e.Text}, nil
	case kindPreempted:
		return Preempted{RequestID: e.RequestID}, nil
	case kindResumed:
		return Resumed{RequestID: e.RequestID}, nil
	case kindFinished:
		return Finished{RequestID: e.RequestID, Reason: e.Reason, Tokens: e.Tokens}, nil
	default:
		return nil, errors.Newf("event of kind %q", e.Kind)
	}
}
