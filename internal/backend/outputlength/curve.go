package outputlength

import "math"

const (
	// priorMedianTokens is the median length assumed before any observation.
	priorMedianTokens = 256
	// priorDeviation is the standard deviation of the prior, in doublings.
	priorDeviation = 2
	// tailFloor is the survival probability below which the learned distribution
	// carries no information.
	tailFloor = 1e-9
	// tailExponent is the exponent of the Pareto tail that is assumed below
	// tailFloor and beyond the last bucket.
	tailExponent = 2
)

// Curve is an immutable distribution of answer lengths, stored as a survival
// function.
type Curve struct {
	// tail holds, for each bucket, the probability that a length exceeds the end
	// of the bucket. The values lie between 0 and 1 and never increase.
	tail [bucketCount]float64
}

// prior is the curve of a class without observations. It is log-normal.
var prior = newPrior()

func newPrior() *Curve {
	c := &Curve{}
	center := bucketScale(priorMedianTokens)
	for i := range c.tail {
		z := (float64(i) - center) / (priorDeviation * bucketsPerDoubling)
		c.tail[i] = math.Erfc(z/math.Sqrt2) / 2
	}
	return c
}

// Survival returns the probability that an answer is longer than the given number
// of tokens.
func (c *Curve) Survival(tokens int) float64 {
	if tokens < 1 {
		return 1
	}
	position := scaleOf(tokens)
	i := int(position)
	if i >= bucketCount-1 {
		return c.tail[bucketCount-1] * paretoTail(float64(tokens), tokensAt(bucketCount-1))
	}
	part := position - float64(i)
	return c.tail[i]*(1-part) + c.tail[i+1]*part
}

// Conditional returns the probability that an answer is longer than
// produced+further tokens, given that it has produced tokens already.
func (c *Curve) Conditional(produced, further int) float64 {
	return c.ConditionalFrom(c.Survival(produced), produced, further)
}

// ConditionalFrom is like Conditional for a caller that has already computed
// Survival(produced), which it passes as reached.
func (c *Curve) ConditionalFrom(reached float64, produced, further int) float64 {
	if further <= 0 {
		return 1
	}
	if reached < tailFloor {
		return paretoTail(float64(produced+further), float64(produced))
	}
	return math.Min(1, c.Survival(produced+further)/reached)
}

// Remaining returns the given quantile, between 0 and 1, of the number of further
// tokens of an answer that has produced tokens already. It is at least 1.
func (c *Curve) Remaining(produced int, quantile float64) int {
	produced = max(produced, 0)
	quantile = math.Max(0, math.Min(quantile, 1-tailFloor))
	reached := c.Survival(produced)
	if reached < tailFloor {
		return beyondTail(produced, quantile)
	}
	return max(1, c.lengthAt(reached*(1-quantile))-produced)
}

// lengthAt returns the length that is exceeded with the probability goal.
func (c *Curve) lengthAt(goal float64) int {
	last := c.tail[bucketCount-1]
	if goal < last {
		beyond := math.Pow(last/goal, 1.0/tailExponent)
		return int(math.Ceil(tokensAt(bucketCount-1) * beyond))
	}
	low, high := 0, bucketCount-1
	for low < high {
		middle := (low + high) / 2
		if c.tail[middle] <= goal {
			high = middle
		} else {
			low = middle + 1
		}
	}
	if low == 0 {
		return 1
	}
	before, after := c.tail[low-1], c.tail[low]
	part := 1.0
	if before > after {
		part = (before - goal) / (before - after)
	}
	return int(math.Ceil(tokensAt(float64(low-1) + part)))
}

// beyondTail returns a quantile of the remaining tokens of an answer that is longer
// than all observed ones.
func beyondTail(produced int, quantile float64) int {
	factor := math.Pow(1-quantile, -1.0/tailExponent) - 1
	return max(1, int(math.Ceil(float64(max(produced, 1))*factor)))
}

// paretoTail returns the probability that an answer exceeds length, given that it
// has reached the shorter length reached, under a Pareto tail.
func paretoTail(length, reached float64) float64 {
	return math.Pow(math.Max(reached, 1)/length, tailExponent)
}
