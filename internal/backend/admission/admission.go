// Package admission decides which generations may start on one engine. It
// forecasts the memory that the running generations will reach, and holds the
// others in an ordered queue. It holds no clock and does no I/O.
package admission

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

// Request is what is known of a generation before it starts.
type Request struct {
	// RequestID is unique among the generations of a Controller.
	RequestID string
	// Account is the client account that pays for the request.
	Account string
	// Class is the request class, which names the kind of work.
	Class string
	// Priority orders the queue; higher starts first.
	Priority int
	// Urgent opens the memory and queue places kept for urgent classes.
	Urgent bool
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixHash names the part of the prompt that the engine's prefix cache may
	// share with other generations. Zero means none.
	PrefixHash uint64
	// PrefixTokens is the length of that part. At most PromptTokens.
	PrefixTokens int
	// MaxTokens bounds the answer. Zero means no bound.
	MaxTokens int
	// Deadline is when the caller gives up. Zero means never.
	Deadline time.Time
}

// Running is a generation on the engine.
type Running struct {
	Request
	// Produced counts the tokens of the answer so far.
	Produced int
	// StartedAt is when the generation was admitted.
	StartedAt time.Time
}

// Waiting is a request in the queue.
type Waiting struct {
	Request
	// QueuedAt is when the request was offered.
	QueuedAt time.Time
	// ExpectedTokens is the length of the answer that was expected when the
	// request was offered. At least 1.
	ExpectedTokens int
	// Overtaken counts the later requests that started first because this one
	// did not fit.
	Overtaken int
}

// Policy weighs the two costs of a full engine and bounds the queue.
type Policy struct {
	// StallWeight is the cost of waiting. Must be positive.
	StallWeight float64
	// PreemptionWeight is the cost of a preemption. Must be positive.
	PreemptionWeight float64
	// MemoryQuantile is the quantile of the memory forecast that must fit when
	// both weights are equal. Between 0 and 1, both excluded.
	MemoryQuantile float64
	// UrgentHeadroomPermille is the share of memory and of the batch that only
	// urgent requests may use.
	UrgentHeadroomPermille int
	// QueueLimit bounds how many others may start before a request that waits.
	// The whole queue is at most four times as long.
	QueueLimit int
}

// DefaultPolicy returns the policy of a service that states none.
func DefaultPolicy() Policy {
	return Policy{
		StallWeight:            1,
		PreemptionWeight:       1,
		MemoryQuantile:         0.75,
		UrgentHeadroomPermille: 50,
		QueueLimit:             16,
	}
}

// Controller holds the running generations and the queue of one engine. The exported
// fields are set before first use. A Controller is not safe for concurrent use.
type Controller struct {
	// Policy is the policy in force.
	Policy Policy
	// CapacityTokens is the engine's memory, in tokens of context. Must be
	// positive.
	CapacityTokens int
	// BatchLimit bounds the generations on the engine. Must be positive.
	BatchLimit int
	// BlockTokens is the unit in which the engine allots memory. Zero means 1.
	BlockTokens int
	// StepMicros is the usual time between two tokens of one generation, in
	// microseconds. Must be positive; SetStep changes it later.
	StepMicros int
	// Shares holds the weight of each client account; an absent one weighs 1.
	Shares map[string]int
	// Lengths is the model of answer lengths. Must not be nil.
	Lengths *outputlength.Model

	// running is ordered by start, so that sums come out the same each time.
	running []*Running
	// byID holds the same generations as running.
	byID    map[string]*Running
	waiting []*Waiting
	usage   usage
	pace    pace
}
