package dispatch

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Request is a caller's request for one generation.
type Request struct {
	// ID is unique for each request; it is never reused.
	ID      string
	Account string
	Class   string
	Service string
	Model   string
	Prompt  string
	// MaxTokens is the caller's limit of output tokens. Zero means the limit of
	// the class.
	MaxTokens uint32
	// Deadline is zero if the caller set none.
	Deadline time.Time
	// Key is the idempotency key. It is empty if the request is idempotent.
	Key string
	// Repeatable reports whether the request is idempotent, so that another
	// generation may replace a lost one.
	Repeatable bool
	// Whole means that the entry host sends nothing to the caller before the
	// answer is complete.
	Whole bool
	// Urgent reports whether the class of the request is urgent, that is, must be
	// answered without delay.
	Urgent bool
}

// Call is one request to a plain service.
type Call struct {
	ID       string
	Account  string
	Class    string
	Service  string
	Method   string
	Path     string
	Body     []byte
	Deadline time.Time
	// Key is the idempotency key. It is empty if the call is idempotent.
	Key string
	// Repeatable reports whether the call is idempotent.
	Repeatable bool
	// Urgent reports whether the class of the call is urgent, that is, must be
	// answered without delay.
	Urgent bool
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Backend is the name of the backend server that answered.
	Backend string
	// RequestID is the ID of the request that ran. It is that of an earlier
	// request if the idempotency key was already bound to it.
	RequestID string
}

// Sink receives the answer to one request. Its methods are called by one
// goroutine, in order.
type Sink interface {
	// Begin is called when a generation is bound, before its first token. For a
	// Whole request it is called again when another generation replaces a lost
	// one.
	Begin(resumetoken.Token)
	// Tokens receives each token once and in order.
	Tokens(position uint64, text []string) error
	// Alive is called on a heartbeat, which arrives while no token is produced.
	Alive(message.GenerationState) error
}

// deadlineNanos converts a deadline to nanoseconds since the Unix epoch. A zero
// time becomes zero.
func deadlineNanos(deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return deadline.UnixNano()
}

// timeFromNanos converts nanoseconds since the Unix epoch to a time. Zero becomes
// the zero time.
func timeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
