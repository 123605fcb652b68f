package outputlength

import "math"

// rescaleAt is the increment at which a history is scaled back to 1.
const rescaleAt = 1e12

// history counts lengths by bucket with exponential decay. In place of
// shrinking every bucket at each observation, later observations weigh more.
type history struct {
	// weights holds the weight of each bucket, in units of increment.
	weights [bucketCount]float64
	// total is the sum of weights.
	total float64
	// increment is the weight of the next observation, at least 1.
	increment float64
	// growth is the factor by which increment grows, above 1.
	growth float64
	// version counts the observations.
	version uint64

	// curve caches the survival curve, valid while both versions match.
	curve        *Curve
	curveVersion uint64
	baseVersion  uint64
}

func newHistory(halfLife float64) *history {
	return &history{increment: 1, growth: math.Exp2(1 / halfLife)}
}

// observe adds one length.
func (h *history) observe(tokens int) {
	h.increment *= h.growth
	h.weights[bucketOf(tokens)] += h.increment
	h.total += h.increment
	h.version++
	if h.increment > rescaleAt {
		h.rescale()
	}
}

// rescale divides all weights so that the increment becomes 1.
func (h *history) rescale() {
	for i := range h.weights {
		h.weights[i] /= h.increment
	}
	h.total /= h.increment
	h.increment = 1
}

// blended returns the survival curve of the history mixed with base, where base
// is worth the given count of observations. baseVersion changes with base.
func (h *history) blended(base *Curve, worth float64, baseVersion uint64) *Curve {
	if h.curve != nil && h.curveVersion == h.version && h.baseVersion == baseVersion {
		return h.curve
	}
	observed := h.total / h.increment
	share := worth / (observed + worth)
	c := &Curve{}
	tail := h.total
	for i := range c.tail {
		tail = math.Max(0, tail-h.weights[i])
		c.tail[i] = share*base.tail[i] + (1-share)*tail/h.total
	}
	h.curve, h.curveVersion, h.baseVersion = c, h.version, baseVersion
	return c
}
