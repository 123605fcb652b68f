package dispatch

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Request is one generation that a caller asked for.
type Request struct {
	// ID is unique for each request; it is never reused.
	ID      string
	Account string
	Class   string
	Service string
	Model   string
	Prompt  string
	// MaxTokens is the caller's limit of output tokens; zero leaves it to the class.
	MaxTokens uint32
	// Deadline is zero when the caller set none.
	Deadline time.Time
	// Key identifies the idempotency key; empty when the request is repeatable.
	Key string
	// Repeatable tells whether another generation may take the place of a lost one.
	Repeatable bool
	// Whole tells that nothing leaves the entry host before the answer is whole.
	Whole bool
	// Urgent tells whether the class must be answered at once.
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
	// Key is empty when the call is repeatable.
	Key        string
	Repeatable bool
	// Urgent tells whether the class must be answered at once.
	Urgent bool
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Backend names the backend server that answered.
	Backend string
	// RequestID is the request that ran: an earlier one where its key was bound
	// before.
	RequestID string
}

// Sink receives the answer to one request. Its methods are called by one
// goroutine, in order.
type Sink interface {
	// Begin is called when a generation is bound, before its first token. For
	// whole answers it is called again when a lost generation was replaced.
	Begin(resumetoken.Token)
	// Tokens receives each token once and in order.
	Tokens(position uint64, text []string) error
	// Alive is called when the path is alive and no token came.
	Alive(message.GenerationState) error
}

// deadlineNanos converts a deadline for the wire; zero stays zero.
func deadlineNanos(deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return deadline.UnixNano()
}

// timeFromNanos converts a time from the wire; zero stays zero.
func timeFromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
