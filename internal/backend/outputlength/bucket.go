package outputlength

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerDoubling is the number of buckets for each doubling of the length.
	bucketsPerDoubling = 4
	// doublings is the base-2 logarithm of the longest length that the buckets
	// distinguish.
	doublings = 18
	// bucketCount is the number of buckets. Bucket i ends at
	// 2^(i/bucketsPerDoubling) tokens.
	bucketCount = bucketsPerDoubling*doublings + 1
)

// bucketOf returns the index of the bucket that contains the given length.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	i := int(math.Ceil(bucketScale(float64(tokens))))
	return min(i, bucketCount-1)
}

// bucketScale returns the position of a length on the bucket axis, as a fractional
// bucket index.
func bucketScale(tokens float64) float64 {
	return bucketsPerDoubling * math.Log2(tokens)
}

const (
	// scaleBits is the number of leading binary digits of a length by which its
	// position is looked up.
	scaleBits = 12
	scaleSize = 1 << scaleBits
)

// scales holds precomputed values of bucketScale for the lengths below scaleSize.
var scales = newScales()

func newScales() *[scaleSize]float64 {
	out := &[scaleSize]float64{}
	for i := 1; i < scaleSize; i++ {
		out[i] = bucketScale(float64(i))
	}
	return out
}

// scaleOf returns bucketScale of a length of at least 1, computed from the leading
// scaleBits binary digits of the length.
func scaleOf(tokens int) float64 {
	shift := max(0, bits.Len(uint(tokens))-scaleBits)
	return scales[tokens>>shift] + float64(bucketsPerDoubling*shift)
}

// tokensAt returns the length at a position on the bucket axis. It is the inverse
// of bucketScale.
func tokensAt(position float64) float64 {
	return math.Exp2(position / bucketsPerDoubling)
}
