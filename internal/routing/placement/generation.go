package placement

import (
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
)

// Generation is a request at an engine, or one that is to be placed there, with what
// is known of its size. It is immutable.
type Generation struct {
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// ProducedTokens is the number of output tokens so far.
	ProducedTokens int
	// Priority is the request's priority in an engine's queue; zero is the most urgent.
	Priority int
	// Output is the estimate of the whole output.
	Output outputestimate.Estimate
}

// ExpectedTokens returns the memory that the generation is expected to take at its
// end, in tokens.
func (g Generation) ExpectedTokens() int {
	return g.PromptTokens + g.ProducedTokens + g.Output.Remaining(g.ProducedTokens)
}
