// Package preemption selects the generations to preempt when an engine runs out of
// memory or batch slots, and how each of them resumes. Choose makes the decision.
// EnginePriority computes the priority by which the engine itself selects
// generations to preempt. The package reads no clock and does no I/O.
package preemption

// Generation is a running generation that may be preempted.
type Generation struct {
	// RequestID is the ID of the request.
	RequestID string
	// Priority is the priority of its class. Lower priorities are preempted first.
	Priority int
	// Urgent reports whether its class is urgent, so that its requests must be
	// answered at once.
	Urgent bool
	// Repeatable reports whether the request is idempotent, so that it may run
	// more than once.
	Repeatable bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// CachedTokens is the length of the part of the prompt that stays in the
	// engine's prefix cache. At most PromptTokens.
	CachedTokens int
	// Produced is the number of answer tokens produced so far.
	Produced int
	// Delivered is the number of tokens sent to the caller. At most Produced.
	Delivered int
	// Remaining is the expected number of further tokens.
	Remaining int
	// Preemptions is the number of times that it has been preempted.
	Preemptions int
}

// Need is the memory and the batch slots that have to be freed.
type Need struct {
	// Tokens is the memory to free, in tokens of context.
	Tokens int
	// Slots is the number of batch slots to free.
	Slots int
	// Urgent reports whether an urgent generation needs the capacity. Then any
	// generation that is not urgent may be preempted, but see Priority. Otherwise
	// every generation may be preempted, urgent ones last.
	Urgent bool
	// Priority is the priority of the class that needs the capacity. An urgent
	// generation takes the batch slot only of generations with a lower priority,
	// since the engine would resume any other first.
	Priority int
}

// empty reports whether there is nothing to free.
func (n Need) empty() bool { return n.Tokens <= 0 && n.Slots <= 0 }

// met reports whether the given number of victims, which free the given number of
// tokens, is enough.
func (n Need) met(victims, freed int) bool {
	return freed >= n.Tokens && victims >= n.Slots
}

// CostWeights are the weights of the costs of a preemption.
type CostWeights struct {
	// StallWeight is the cost of one thousand tokens that are recomputed or waited
	// for. Must not be negative.
	StallWeight float64
	// PreemptionWeight is the cost of one earlier preemption, or of a preemption
	// at the very end of the answer. Must not be negative.
	PreemptionWeight float64
}

// Decision is the result of Choose: Preempt or Keep.
type Decision interface {
	decision()
}

// Preempt means that generations are to be preempted.
type Preempt struct {
	// Victims are the generations to preempt, in this order.
	Victims []Victim
	// FreedTokens is the memory that the victims free, in tokens.
	FreedTokens int
}

// Keep means that no generation is to be preempted.
type Keep struct {
	// Reason is why no generation is preempted.
	Reason Reason
}

func (Preempt) decision() {}
func (Keep) decision()    {}

// Reason is why no generation is preempted.
type Reason int

// Reasons not to preempt.
const (
	// ReasonNoNeed means that nothing has to be freed.
	ReasonNoNeed Reason = iota + 1
	// ReasonTooFew means that preempting every candidate would not free enough.
	ReasonTooFew
)

// String returns the name of the reason in Pascal case.
func (r Reason) String() string {
	switch r {
	case ReasonNoNeed:
		return "NoNeed"
	case ReasonTooFew:
		return "TooFew"
	default:
		return "Unknown"
	}
}

// Victim is a generation to preempt.
type Victim struct {
	// RequestID is the ID of the request.
	RequestID string
	// Cost is the weighted cost of preempting it.
	Cost float64
	// Resume is how the generation resumes.
	Resume Resume
}

// Resume is how a preempted generation resumes: Recompute or Restart.
type Resume interface {
	resume()
}

// Recompute keeps the generation on its engine, which recomputes its context
// before it resumes.
type Recompute struct {
	// Tokens is the length of the context to recompute.
	Tokens int
}

// Restart cancels the generation and runs the request again from the beginning, on
// any engine. It is chosen only for an idempotent request of which no token was
// delivered.
type Restart struct{}

func (Recompute) resume() {}
func (Restart) resume()   {}
