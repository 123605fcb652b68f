// Package outputlength learns how long the answers of each class and client account
// are. It holds no clock and does no I/O.
package outputlength

// DefaultLimit bounds the pairs of class and account of a Model whose Limit is
// not set.
const DefaultLimit = 4096

const (
	// classLimit bounds the classes that a Model keeps.
	classLimit = 256
	// classHalfLife is the count of observations of a class after which an
	// older one weighs half.
	classHalfLife = 256
	// accountHalfLife is the same for one account within a class.
	accountHalfLife = 64
	// priorWeight is the count of observations that the prior is worth
	// against those of a class.
	priorWeight = 2
	// classWeight is the count of observations that the class is worth
	// against those of one account.
	classWeight = 8
)

// pair names the answers of one account within one class.
type pair struct {
	Class   string
	Account string
}

// Model is an online model of answer lengths in tokens. An account with few
// observations is mixed with its class, and a class with few observations is
// mixed with a prior. The zero value is ready for use. A Model is not safe for
// concurrent use.
type Model struct {
	// Limit bounds the pairs of class and account that are kept; the least
	// recently observed is dropped first. Zero means DefaultLimit. Must not
	// change after the first observation.
	Limit int

	classes  *lru[string, *history]
	accounts *lru[pair, *history]
}
