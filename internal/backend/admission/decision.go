package admission

import "time"

// Decision is the outcome of an offer: Admit, Wait or Refuse.
type Decision interface {
	decision()
}

// Admit means that the generation starts now.
type Admit struct {
	// RequestID names the request.
	RequestID string
	// QueuedAt is when the request was offered.
	QueuedAt time.Time
	// Forecast is the memory forecast that includes the request.
	Forecast Forecast
}

// Wait means that the request was queued.
type Wait struct {
	// RequestID names the request.
	RequestID string
	// Position is the position in the queue, where 1 is the next to start.
	Position int
	// Reason is why the request could not start now.
	Reason Reason
	// StartAt is the expected start time.
	StartAt time.Time
}

// Refuse means that the request was rejected and did not run.
type Refuse struct {
	// RequestID names the request.
	RequestID string
	// Reason is why the request was refused.
	Reason Reason
	// RetryAt is the earliest useful time to retry. Zero means that a retry on
	// this engine cannot succeed.
	RetryAt time.Time
}

func (Admit) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Reason is why a request waits or was refused.
type Reason int

// Reasons for waiting or refusal.
const (
	// ReasonDuplicate means that a request with the same ID is running or waiting.
	ReasonDuplicate Reason = iota + 1
	// ReasonTooLarge means that the prompt exceeds the memory that the request may
	// use.
	ReasonTooLarge
	// ReasonDeadline means that the deadline can no longer be met.
	ReasonDeadline
	// ReasonQueueFull means that the queue has no free slot.
	ReasonQueueFull
	// ReasonAccountLimit means that the account has used its part of the queue.
	ReasonAccountLimit
	// ReasonBehind means that other queued requests start first.
	ReasonBehind
	// ReasonBatch means that the engine's batch has no slot for the request.
	ReasonBatch
	// ReasonMemory means that the memory forecast exceeds the limit.
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
