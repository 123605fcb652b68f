package outputlength

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerDoubling is the resolution of the buckets.
	bucketsPerDoubling = 4
	// doublings is the base-2 logarithm of the longest length told apart.
	doublings = 18
	// bucketCount counts the buckets. Bucket i ends at 2^(i/bucketsPerDoubling).
	bucketCount = bucketsPerDoubling*doublings + 1
)

// bucketOf returns the bucket that holds a length of the given tokens.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	i := int(math.Ceil(bucketScale(float64(tokens))))
	return min(i, bucketCount-1)
}

// bucketScale returns the position of a length on the axis of buckets.
func bucketScale(tokens float64) float64 {
	return bucketsPerDoubling * math.Log2(tokens)
}

const (
	// scaleBits is the number of leading binary digits of a length that its
	// position is looked up by.
	scaleBits = 12
	scaleSize = 1 << scaleBits
)

// scales holds bucketScale of the lengths below scaleSize.
var scales = newScales()

func newScales() *[scaleSize]float64 {
	out := &[scaleSize]float64{}
	for i := 1; i < scaleSize; i++ {
		out[i] = bucketScale(float64(i))
	}
	return out
}

// scaleOf is bucketScale of a whole number from 1, to scaleBits digits.
func scaleOf(tokens int) float64 {
	shift := max(0, bits.Len(uint(tokens))-scaleBits)
	return scales[tokens>>shift] + float64(bucketsPerDoubling*shift)
}

// tokensAt is the inverse of bucketScale.
func tokensAt(position float64) float64 {
	return math.Exp2(position / bucketsPerDoubling)
}
