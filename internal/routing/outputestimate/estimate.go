// Package outputestimate estimates how many tokens a generation will produce. An
// Estimate is the distribution of one output; Model learns from the answers that
// have ended how the outputs of a route relate to the hints of its callers, which
// are often far off. The package does no I/O and reads no clock.
package outputestimate

import "math"

const (
	// tailFloor is the probability below which the tail of the distribution is no
	// longer computed from its normal form, as the quotient of two such values is
	// not accurate.
	tailFloor = 1e-6
	// tailExponent is the exponent of the tail that is assumed beyond tailFloor.
	tailExponent = 2
	// meanSteps is the number of intervals over which Remaining integrates.
	meanSteps = 32
	// meanReach is the number of spreads above the median up to which Remaining
	// integrates.
	meanReach = 3
)

// Estimate is the distribution of the output of one generation: log-normal, cut off
// at Max. It is immutable.
type Estimate struct {
	// MedianTokens is the median without the cut-off. It is at least 1.
	MedianTokens float64
	// Spread is the standard deviation of the logarithm of the output. It is
	// positive.
	Spread float64
	// MaxTokens is the largest possible output; zero means no limit.
	MaxTokens int
}

// Survival returns the probability that the output exceeds a number of tokens.
func (e Estimate) Survival(tokens int) float64 {
	if tokens < 1 {
		return 1
	}
	if e.MaxTokens > 0 && tokens >= e.MaxTokens {
		return 0
	}
	return upperTail((math.Log(float64(tokens)) - math.Log(e.MedianTokens)) / e.Spread)
}

// Reaches returns the probability that a generation that has produced some tokens
// produces at least ahead further ones.
func (e Estimate) Reaches(produced, ahead int) float64 {
	if ahead <= 0 {
		return 1
	}
	if e.MaxTokens > 0 && produced+ahead > e.MaxTokens {
		return 0
	}
	reached := e.Survival(produced)
	if reached < tailFloor {
		return math.Pow(float64(max(produced, 1))/float64(produced+ahead), tailExponent)
	}
	return min(e.Survival(produced+ahead-1)/reached, 1)
}

// Remaining returns the mean of the number of tokens still to come from a generation
// that has produced some tokens.
func (e Estimate) Remaining(produced int) int {
	end := max(e.MedianTokens*math.Exp(meanReach*e.Spread), 2*float64(produced))
	if e.MaxTokens > 0 {
		end = min(end, float64(e.MaxTokens))
	}
	step := (end - float64(produced)) / meanSteps
	if step <= 0 {
		return 0
	}
	mean := 0.0
	for i := range meanSteps {
		mean += step * e.Reaches(produced, int((float64(i)+0.5)*step))
	}
	return int(math.Ceil(mean))
}

// upperTail returns the probability that a standard normal variable exceeds z.
func upperTail(z float64) float64 {
	return math.Erfc(z/math.Sqrt2) / 2
}

// hazard returns the density of a standard normal variable at z, given that it
// exceeds z.
func hazard(z float64) float64 {
	tail := upperTail(z)
	if tail < tailFloor {
		return z + 1/z
	}
	return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / tail
}
