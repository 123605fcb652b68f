package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Reasons for which a generation finishes; a failure has the reason
// ReasonErrorPrefix followed by a text.
const (
	// ReasonStop says that the model ended its output.
	ReasonStop = "stop"
	// ReasonLength says that MaxTokens was reached.
	ReasonLength = "length"
	// ReasonErrorPrefix begins the reason of a failure.
	ReasonErrorPrefix = "error: "
)

// Event is one event of a stream: Token, Preempted, Resumed or Finished.
type Event interface{ isEvent() }

// Token is one token of the output.
type Token struct {
	// RequestID names the request.
	RequestID string
	// Position counts the tokens of the generation, from 0.
	Position int
	// Text is the token's text.
	Text string
}

// Preempted says that the generation was pushed aside to free memory.
type Preempted struct {
	// RequestID names the request.
	RequestID string
}

// Resumed says that a preempted generation runs again, where it was.
type Resumed struct {
	// RequestID names the request.
	RequestID string
}

// Finished is the last event of a stream.
type Finished struct {
	// RequestID names the request.
	RequestID string
	// Reason is ReasonStop, ReasonLength or a failure.
	Reason string
	// Tokens is how many tokens the whole generation has.
	Tokens int
}

func (Token) isEvent()     {}
func (Preempted) isEvent() {}
func (Resumed) isEvent()   {}
func (Finished) isEvent()  {}

// envelope is an event as it is sent.
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

// DecodeEvent reads an event from JSON.
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
