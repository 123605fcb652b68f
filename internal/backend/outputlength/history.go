package outputlength

import "math"

// rescaleAt is the increment above which the weights of a history are rescaled, so
// that they do not overflow.
const rescaleAt = 1e12

// history is a histogram of lengths with exponential decay. Instead of reducing
// every bucket at each observation, it gives later observations a larger weight.
type history struct {
	// weights holds the sum of the observations' weights for each bucket.
	weights [bucketCount]float64
	// total is the sum of weights.
	total float64
	// increment is the weight of the next observation, at least 1.
	increment float64
	// growth is the factor by which increment grows at each observation. It is
	// above 1.
	growth float64
	// version counts the observations.
	version uint64

	// curve caches the result of blended. It is valid while curveVersion equals
	// version and baseVersion equals the version of the base curve.
	curve        *Curve
	curveVersion uint64
	baseVersion  uint64
}

func newHistory(halfLife float64) *history {
	return &history{increment: 1, growth: math.Exp2(1 / halfLife)}
}

// observe adds one observed length.
func (h *history) observe(tokens int) {
	h.increment *= h.growth
	h.weights[bucketOf(tokens)] += h.increment
	h.total += h.increment
	h.version++
	if h.increment > rescaleAt {
		h.rescale()
	}
}

// rescale divides all weights by the increment, which becomes 1.
func (h *history) rescale() {
	for i := range h.weights {
		h.weights[i] /= h.increment
	}
	h.total /= h.increment
	h.increment = 1
}

// blended returns the survival curve of the history blended with base, which counts
// as baseWeight observations. The caller passes a different baseVersion whenever
// base has changed.
func (h *history) blended(base *Curve, baseWeight float64, baseVersion uint64) *Curve {
	if h.curve != nil && h.curveVersion == h.version && h.baseVersion == baseVersion {
		return h.curve
	}
	observed := h.total / h.increment
	share := baseWeight / (observed + baseWeight)
	c := &Curve{}
	tail := h.total
	for i := range c.tail {
		tail = math.Max(0, tail-h.weights[i])
		c.tail[i] = share*base.tail[i] + (1-share)*tail/h.total
	}
	h.curve, h.curveVersion, h.baseVersion = c, h.version, baseVersion
	return c
}
