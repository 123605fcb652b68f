// Package admission decides which generations may start on one engine. It
// forecasts the memory that the running generations will use, and queues the
// requests that do not fit yet. A Controller does so for one engine: Offer decides
// on a new request, and Next starts queued requests when there is free capacity. The
// caller passes the current time; the package reads no clock and does no I/O.
package admission

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

// Request describes a generation before it starts.
type Request struct {
	// RequestID is unique among the generations of a Controller.
	RequestID string
	// Account is the client account that the request is charged to.
	Account string
	// Class is the name of the request class.
	Class string
	// Priority orders the queue; a higher priority starts first.
	Priority int
	// Urgent says that the class is urgent. The request starts before those that
	// are not urgent, may use the memory and the batch slots that are reserved for
	// urgent classes, and is exempt from the queue limit of its account.
	Urgent bool
	// Repeatable reports whether the request is idempotent, so that it may run
	// more than once.
	Repeatable bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixHash is the hash of the prompt prefix that the engine's prefix cache
	// may share with other generations. Zero means no shared prefix.
	PrefixHash uint64
	// PrefixTokens is the length of that prefix. At most PromptTokens.
	PrefixTokens int
	// MaxTokens is the maximum length of the answer. Zero means no limit.
	MaxTokens int
	// Deadline is the time by which the caller needs the whole answer. Zero
	// means no deadline.
	Deadline time.Time
}

// Running is a generation that was admitted to the engine.
type Running struct {
	Request
	// Produced is the number of answer tokens produced so far.
	Produced int
	// StartedAt is when the generation was admitted.
	StartedAt time.Time
}

// Waiting is a request in the queue.
type Waiting struct {
	Request
	// QueuedAt is when the request was offered.
	QueuedAt time.Time
	// ExpectedTokens is the answer length that was predicted when the request
	// was offered. At least 1.
	ExpectedTokens int
	// Overtaken counts the requests further back in the queue that started first
	// because this one did not fit.
	Overtaken int
}

// Policy sets the trade-off between waiting and preemption on a full engine, and
// the length of the queue.
type Policy struct {
	// StallWeight is the relative cost of waiting. Must be positive.
	StallWeight float64
	// PreemptionWeight is the relative cost of a preemption. Must be positive.
	PreemptionWeight float64
	// MemoryQuantile is the quantile of the memory forecast that must fit into the
	// engine's memory when both weights are equal. Between 0 and 1, exclusive.
	MemoryQuantile float64
	// UrgentHeadroomPermille is the share of the memory and of the batch slots
	// that is reserved for urgent requests, in thousandths.
	UrgentHeadroomPermille int
	// QueueLimit bounds the queue: a request is queued only if fewer requests than
	// this start before it. The whole queue holds at most four times as many, see
	// wholeQueueFactor.
	QueueLimit int
}

// DefaultPolicy returns the policy of a service that configures none.
func DefaultPolicy() Policy {
	return Policy{
		StallWeight:            1,
		PreemptionWeight:       1,
		MemoryQuantile:         0.75,
		UrgentHeadroomPermille: 50,
		QueueLimit:             16,
	}
}

// Controller tracks the running generations and the queue of one engine. The
// exported fields must be set before first use. A Controller is not safe for
// concurrent use.
type Controller struct {
	// Policy is the policy in force.
	Policy Policy
	// CapacityTokens is the size of the engine's memory, in tokens of context.
	// Must be positive.
	CapacityTokens int
	// BatchLimit is the number of generations that the engine runs at a time. Must
	// be positive.
	BatchLimit int
	// BlockTokens is the size of the blocks in which the engine allocates memory.
	// Zero means 1.
	BlockTokens int
	// StepMicros is the expected time between two tokens of one generation, in
	// microseconds. Must be positive. SetStep changes it later.
	StepMicros int
	// Shares holds the fair-share weight of each client account: among requests of
	// equal rank, the account with the least service for its weight starts next. An
	// account that is not listed has the weight 1.
	Shares map[string]int
	// Lengths predicts answer lengths. Must not be nil.
	Lengths *outputlength.Model

	// running is ordered by start time, so that floating-point sums over it are
	// reproducible.
	running []*Running
	// byID indexes running by request ID.
	byID    map[string]*Running
	waiting []*Waiting
	usage   usage
	pace    pace
}
