package delivery

import "github.com/fulmarvalve/fulmarvalve/internal/wire/message"

// Step is what the relay must do with one frame. It is sealed: the types in
// this file are all there are.
type Step interface{ step() }

// Deliver passes tokens on to the caller.
type Deliver struct {
	// Position of the first token of Text, always the one that was next.
	Position uint64
	// Text holds at least one token.
	Text []string
}

// Duplicate drops a frame whose tokens were all delivered before.
type Duplicate struct{}

// Gap asks for the generation again from position From.
type Gap struct {
	// From is the first position that is missing.
	From uint64
}

// Rejected rejects a frame that belongs to another answer or is malformed.
type Rejected struct {
	Reason RejectReason
}

// Ended finishes the answer: every token up to the end was delivered.
type Ended struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
}

// Refused finishes the attempt: the owner refused the request.
type Refused struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
	// RetryAtUnixNanos is the earliest useful time to come back, in
	// nanoseconds since the Unix epoch. Zero means unknown.
	RetryAtUnixNanos int64
}

// Alive reports that the path works while no token is produced.
type Alive struct {
	State message.GenerationState
}

// Admitted reports that the owner took the request.
type Admitted struct {
	// QueueLength counts the requests ahead.
	QueueLength uint32
}

func (Deliver) step()   {}
func (Duplicate) step() {}
func (Gap) step()       {}
func (Rejected) step()  {}
func (Ended) step()     {}
func (Refused) step()   {}
func (Alive) step()     {}
func (Admitted) step()  {}

// RejectReason says why a frame was rejected.
type RejectReason uint8

// Reasons for a rejected frame.
const (
	// OtherRequest marks a frame of another request.
	OtherRequest RejectReason = iota + 1
	// OtherGeneration marks a frame of a generation that is not the bound one.
	OtherGeneration
	// Malformed marks a frame without generation or body.
	Malformed
	// AfterEnd marks tokens past the end of the generation.
	AfterEnd
)

// String returns the reason as it is written to logs and metrics.
func (r RejectReason) String() string {
	switch r {
	case OtherRequest:
		return "OtherRequest"
	case OtherGeneration:
		return "OtherGeneration"
	case Malformed:
		return "Malformed"
	case AfterEnd:
		return "AfterEnd"
	default:
		return "Unknown"
	}
}
