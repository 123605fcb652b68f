// Package preemption chooses which generations to preempt when an engine runs
// out of memory, and how they go on. It holds no clock and does no I/O.
package preemption

// Generation is a running generation that may be preempted.
type Generation struct {
	// RequestID names the request.
	RequestID string
	// Priority is the priority of its class; higher is kept longer.
	Priority int
	// Urgent tells whether its class must answer at once.
	Urgent bool
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// CachedTokens is the part of the prompt that stays in the engine's prefix
	// cache. At most PromptTokens.
	CachedTokens int
	// Produced counts the tokens of the answer so far.
	Produced int
	// Delivered counts the tokens that were handed to the caller. At most
	// Produced.
	Delivered int
	// Remaining is the expected number of further tokens.
	Remaining int
	// Preemptions counts how often it was preempted before.
	Preemptions int
}

// Need is the memory and the places in the batch that have to be freed.
type Need struct {
	// Tokens is the memory, in tokens of context.
	Tokens int
	// Slots is the number of generations that have to leave the batch.
	Slots int
	// Urgent tells whether an urgent generation needs it, which spares none of
	// the others.
	Urgent bool
	// Priority is the priority of the class that needs it. An urgent generation
	// takes the place of lower ones only, since the engine would resume any other
	// first.
	Priority int
}

// empty tells whether nothing has to be freed.
func (n Need) empty() bool { return n.Tokens <= 0 && n.Slots <= 0 }

// met tells whether victims that free so many tokens are enough.
func (n Need) met(victims, freed int) bool {
	return freed >= n.Tokens && victims >= n.Slots
}

// CostWeights weigh the costs of a preemption.
type CostWeights struct {
	// StallWeight is the cost of one thousand tokens computed again or waited
	// for. Must not be negative.
	StallWeight float64
	// PreemptionWeight is the cost of one preemption. Must not be negative.
	PreemptionWeight float64
}

// Decision is the outcome of a choice: Preempt or Keep.
type Decision interface {
	decision()
}

// Preempt pushes generations aside.
type Preempt struct {
	// Victims are the generations, in the order in which to preempt them.
	Victims []Victim
	// FreedTokens is the memory that they free.
	FreedTokens int
}

// Keep preempts nothing.
type Keep struct {
	// Reason tells why.
	Reason Reason
}

func (Preempt) decision() {}
func (Keep) decision()    {}

// Reason tells why nothing is preempted.
type Reason int

// Reasons for keeping all generations.
const (
	// ReasonNoNeed is given when nothing has to be freed.
	ReasonNoNeed Reason = iota + 1
	// ReasonTooFew is given when all that may be preempted would not free
	// enough.
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
	// RequestID names the request.
	RequestID string
	// Cost is the weighted cost by which it was chosen.
	Cost float64
	// Resume tells how it goes on.
	Resume Resume
}

// Resume is how a preempted generation goes on: Recompute or Restart.
type Resume interface {
	resume()
}

// Recompute keeps the generation on its engine, which computes its context
// again before it goes on.
type Recompute struct {
	// Tokens is the context to compute.
	Tokens int
}

// Restart cancels the generation and runs the request anew, on any engine. It
// is chosen only for a repeatable request of which nothing was delivered.
type Restart struct{}

func (Recompute) resume() {}
func (Restart) resume()   {}
