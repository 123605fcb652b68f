package outputestimate

import "math"

// line is a linear relation between the logarithms of hint and output, with a normal
// deviation. It is immutable.
type line struct {
	// center is the logarithm of a hint, and height that of the median output at it.
	center float64
	height float64
	slope  float64
	// spread is the standard deviation of the logarithm of the output. It is at
	// least minSpread.
	spread float64
	// firstHeight is height before the first sample.
	firstHeight float64
}

// firstLine returns the line that is assumed before the first sample.
func firstLine(maximum int) line {
	median := float64(firstMedianTokens)
	if maximum > 0 {
		median = max(min(median, firstMaxShare*float64(maximum)), 1)
	}
	height := math.Log(median)
	return line{center: height, height: height, slope: firstSlope, spread: firstSpread, firstHeight: height}
}

// at returns the logarithm of the median output for the logarithm of a hint.
func (l line) at(logHint float64) float64 {
	return l.height + l.slope*(logHint-l.center)
}

// sums are the weighted sums from which a line is computed, with hints and outputs
// relative to the center of the line.
type sums struct {
	weight, hint, output, hintHint, hintOutput float64
}

func (s sums) with(weight, hint, output float64) sums {
	s.weight += weight
	s.hint += weight * hint
	s.output += weight * output
	s.hintHint += weight * hint * hint
	s.hintOutput += weight * hint * output
	return s
}

// fit returns the line of greatest likelihood for the observations and the first
// assumptions. In each round an output of which only the least is known is replaced
// by its mean under the line of the round before (expectation maximization).
func fit(all []observation, l line) line {
	for range fitRounds {
		l = refine(all, l)
	}
	return l
}

// refine computes one round of a fit.
func refine(all []observation, l line) line {
	first := line{center: l.center, height: l.firstHeight, slope: firstSlope}
	deviation := math.Sqrt(firstHintVariance)
	total := sums{}.
		with(firstWeight/2, deviation, first.at(l.center+deviation)).
		with(firstWeight/2, -deviation, first.at(l.center-deviation))
	variance := firstWeight * firstSpread * firstSpread
	for _, o := range all {
		output, uncertainty := o.expected(l)
		total = total.with(1, o.logHint-l.center, output)
		off := output - l.at(o.logHint)
		variance += off*off + uncertainty
	}
	determinant := total.weight*total.hintHint - total.hint*total.hint
	next := l
	next.slope = (total.weight*total.hintOutput - total.hint*total.output) / determinant
	next.height = (total.output - next.slope*total.hint) / total.weight
	next.spread = max(math.Sqrt(variance/total.weight), minSpread)
	return next
}

// expected returns the mean and the variance of the logarithm of the output under a
// line.
func (o observation) expected(l line) (mean, variance float64) {
	if !o.atLeast {
		return o.logOutput, 0
	}
	z := (o.logOutput - l.at(o.logHint)) / l.spread
	h := hazard(z)
	mean = l.at(o.logHint) + l.spread*h
	variance = l.spread * l.spread * max(1+z*h-h*h, 0)
	return mean, variance
}
