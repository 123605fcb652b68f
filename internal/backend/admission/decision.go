package admission

import "time"

// Decision is the outcome of an offer: Admit, Wait or Refuse.
type Decision interface {
	decision()
}

// Admit starts a generation now.
type Admit struct {
	// RequestID names the request.
	RequestID string
	// QueuedAt is when the request was offered.
	QueuedAt time.Time
	// Forecast is the memory forecast with the request included.
	Forecast Forecast
}

// Wait holds a request in the queue.
type Wait struct {
	// RequestID names the request.
	RequestID string
	// Position counts from 1, the next to start.
	Position int
	// Reason tells what the request waits for.
	Reason Reason
	// StartAt is the expected start.
	StartAt time.Time
}

// Refuse turns a request away. It was not run.
type Refuse struct {
	// RequestID names the request.
	RequestID string
	// Reason tells why.
	Reason Reason
	// RetryAt is the earliest useful time to come back. Zero means that a
	// repeat to this engine is of no use.
	RetryAt time.Time
}

func (Admit) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Reason tells why a request waits or was refused.
type Reason int

// Reasons, in the order in which they are tested.
const (
	// ReasonDuplicate is given for a request identity that is held already.
	ReasonDuplicate Reason = iota + 1
	// ReasonTooLarge is given when the prompt can never fit.
	ReasonTooLarge
	// ReasonDeadline is given when the deadline cannot be met any more.
	ReasonDeadline
	// ReasonQueueFull is given when no place in the queue is left.
	ReasonQueueFull
	// ReasonAccountLimit is given when the account holds its part of the queue.
	ReasonAccountLimit
	// ReasonBehind is given when others in the queue start first.
	ReasonBehind
	// ReasonBatch is given when the engine's batch is full.
	ReasonBatch
	// ReasonMemory is given when the forecast does not fit the memory.
	ReasonMemory
)

// String returns the name of the reason in Pascal case.
func (r Reason) String() string {
	switch r {
	case ReasonDuplicate:
		return "Duplicate"
	case ReasonTooLarge:
		return "TooLarge"
	case ReasonDeadline:
		return "Deadline"
	case ReasonQueueFull:
		return "QueueFull"
	case ReasonAccountLimit:
		return "AccountLimit"
	case ReasonBehind:
		return "Behind"
	case ReasonBatch:
		return "Batch"
	case ReasonMemory:
		return "Memory"
	default:
		return "Unknown"
	}
}
