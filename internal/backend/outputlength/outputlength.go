// Package outputlength predicts the length of answers from the observed lengths of
// each request class and client account. Model records the lengths and returns the
// predictions, from which package admission forecasts the memory use of an engine.
// The package reads no clock and does no I/O.
package outputlength

// DefaultLimit is the maximum number of pairs of class and account in a Model
// whose Limit is not set.
const DefaultLimit = 4096

const (
	// classLimit is the maximum number of classes in a Model.
	classLimit = 256
	// classHalfLife is the number of observations of a class after which the
	// weight of an older one has halved.
	classHalfLife = 256
	// accountHalfLife is the number of observations of one account within a class
	// after which the weight of an older one has halved.
	accountHalfLife = 64
	// priorWeight is the number of observations of a class that the prior counts
	// for.
	priorWeight = 2
	// classWeight is the number of observations of an account that the class
	// counts for.
	classWeight = 8
)

// pair identifies the answers of one account within one class.
type pair struct {
	Class   string
	Account string
}

// Model is an online model of answer lengths in tokens. The distribution of an
// account is blended with that of its class, and the distribution of a class with
// a prior, so that few observations are enough for a prediction. The zero value is
// ready for use. A Model is not safe for concurrent use.
type Model struct {
	// Limit is the maximum number of pairs of class and account. The least
	// recently observed pair is dropped first. Zero means DefaultLimit. Limit must
	// not change after the first observation.
	Limit int

	classes  *lru[string, *history]
	accounts *lru[pair, *history]
}
