package delivery

import "github.com/fulmarvalve/fulmarvalve/internal/wire/message"

// Step is what the relay must do with one frame. It is sealed: only the types in
// this file implement it.
type Step interface{ step() }

// Deliver sends tokens to the caller.
type Deliver struct {
	// Position is that of the first token of Text, which is always the first
	// token not yet delivered.
	Position uint64
	// Text holds at least one token.
	Text []string
}

// Duplicate drops a frame that adds nothing to what was delivered.
type Duplicate struct{}

// Gap requests the generation again from position From.
type Gap struct {
	// From is the first missing position.
	From uint64
}

// Rejected drops a frame that belongs to another answer or is malformed.
type Rejected struct {
	Reason RejectReason
}

// Ended ends the answer: every token up to the end was delivered.
type Ended struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
}

// Refused ends the attempt: the owner refused the request.
type Refused struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
	// RetryAtUnixNanos is the earliest useful retry time, in nanoseconds since
	// the Unix epoch. Zero means unknown.
	RetryAtUnixNanos int64
}

// Alive reports a heartbeat: the connection to the owner works although no token is
// produced.
type Alive struct {
	State message.GenerationState
}

// Admitted reports that the owner accepted the request.
type Admitted struct {
	// QueueLength is the number of requests ahead in the queue.
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

// RejectReason is why a frame was rejected.
type RejectReason uint8

// Reasons for a rejected frame.
const (
	// OtherRequest means that the frame belongs to another request.
	OtherRequest RejectReason = iota + 1
	// OtherGeneration means that the frame belongs to a generation other than the
	// bound one.
	OtherGeneration
	// Malformed means that the frame has no generation sequence or no body, or that
	// its End lies before tokens already delivered.
	Malformed
	// AfterEnd means that the tokens lie past the end of the generation.
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
