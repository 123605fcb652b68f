// Package pauseforecast forecasts the longest pause between two events of a stream, and the
// probability that one exceeds a limit. The load that it answers is engines whose pauses vary: with
// the prompts that they process beside a run, and with periods in which they are slow. A pause is
// learnt as a ratio to the usual time between events of its engine, so that what the streams of one
// engine show applies to a faster or slower one. The package does no I/O and reads no clock.
package pauseforecast

import (
	"math"
	"sync"
)

const (
	// lowestRatio and highestRatio are the bounds of the histogram; ratios beyond them
	// count in its first and last bucket. bucketsPerDoubling gives each bucket a width of
	// 2.5 %, well below the difference between the engines that it tells apart.
	lowestRatio        = 0.25
	highestRatio       = 64
	bucketsPerDoubling = 28
	doublings          = 8
	bucketCount        = bucketsPerDoubling * doublings
	// decaySamples is the number of samples after which the weight of a sample has fallen
	// to 1/e. The longest pause of a few hundred events is estimated from ten times as many.
	decaySamples = 4000
	// maxWeight is the weight of a new sample at which all weights are scaled down, so that
	// they stay finite.
	maxWeight = 1e9
	// minSamples is the least number of samples of a forecast. With so few samples the forecast
	// equals the longest pause that was seen, which is lower than most long streams will see.
	minSamples = 100
	// allowedExceedances is the number of pauses of one stream that may be longer than the
	// forecast, on average: with one half, somewhat more than half of the streams stay
	// within it if pauses are independent, and more if long ones come in groups.
	allowedExceedances = 0.5
	// maxServices bounds the services that are kept.
	maxServices = 64
	// maxEventMicros is the longest time between events that is taken for valid.
	maxEventMicros = 60_000_000
)

// Ratio is the longest pause of a stream as a multiple of the usual time between events of
// its engine. It is positive.
type Ratio float64

// PauseMicros returns the pause at an engine with the given time between events.
func (r Ratio) PauseMicros(eventMicros int64) int64 {
	return int64(float64(r) * float64(eventMicros))
}

// Model learns the pauses of the streams of one process. It is safe for concurrent use. The
// zero value is ready to use.
type Model struct {
	mu sync.Mutex
	// services holds at most maxServices histograms, by service.
	services map[string]*histogram
}

// histogram holds the weights of the ratios of one service.
type histogram struct {
	buckets [bucketCount]float64
	// after holds, for each sample, the longest of the groupEvents pauses of its stream before
	// it, and continued the lesser of the two. A sample above a limit of which continued is
	// above it, too, continues a group of long pauses.
	after     [bucketCount]float64
	continued [bucketCount]float64
	// total is the sum of the weights.
	total float64
	// weight is the weight of the next sample. It grows with each sample, which has the
	// effect that the older ones decay.
	weight float64
	// count is the number of samples, up to minSamples.
	count int
}

// Observe takes in that a stream paused for pauseMicros at an engine whose usual time between
// events is eventMicros, and that events of them then arrived together; only the first of
// them came after a pause. The pauses of the stream before are in recent, to which these are
// added. Invalid values are dropped.
func (m *Model) Observe(service string, recent *Recent, pauseMicros, eventMicros int64, events int) {
	if !validEvent(eventMicros) || pauseMicros < 0 || events < 1 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.services[service]
	if !known {
		if len(m.services) >= maxServices {
			return
		}
		if m.services == nil {
			m.services = make(map[string]*histogram)
		}
		h = &histogram{weight: 1}
		m.services[service] = h
	}
	h.add(bucketOf(float64(pauseMicros)/float64(eventMicros)), recent)
	for range events - 1 {
		h.add(0, recent)
	}
}

// Longest returns the ratio of the longest pause that a stream of that many events is expected
// to see, or false while there are too few samples.
func (m *Model) Longest(service string, events int) (Ratio, bool) {
	if events < 1 {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.services[service]
	if !known || h.count < minSamples {
		return 0, false
	}
	return h.exceededBy(allowedExceedances / float64(events)), true
}

// Forecast returns the longest pause that a stream of that many events is expected to see at
// an engine with the given time between events, both in microseconds. It returns false while
// there are too few samples and for an invalid time.
func (m *Model) Forecast(service string, eventMicros int64, events int) (int64, bool) {
	ratio, ok := m.Longest(service, events)
	if !ok || !validEvent(eventMicros) {
		return 0, false
	}
	return ratio.PauseMicros(eventMicros), true
}

func validEvent(eventMicros int64) bool {
	return eventMicros > 0 && eventMicros <= maxEventMicros
}

// add adds a sample of a stream whose pauses before are given.
func (h *histogram) add(bucket int, recent *Recent) {
	before := recent.longest()
	recent.add(bucket)
	h.buckets[bucket] += h.weight
	h.after[before] += h.weight
	h.continued[min(bucket, before)] += h.weight
	h.total += h.weight
	h.weight *= 1 + 1.0/decaySamples
	h.count = min(h.count+1, minSamples)
	if h.weight > maxWeight {
		h.scale(1 / h.weight)
	}
}

// scale multiplies all weights.
func (h *histogram) scale(factor float64) {
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] *= factor
		h.after[i] *= factor
		h.continued[i] *= factor
		h.total += h.buckets[i]
	}
	h.weight *= factor
}

// exceededBy returns the ratio that the given share of the samples exceeds.
func (h *histogram) exceededBy(share float64) Ratio {
	left := share * h.total
	for i := bucketCount - 1; i > 0; i-- {
		if weight := h.buckets[i]; weight > left {
			return ratioAt(float64(i+1) - left/weight)
		}
		left -= h.buckets[i]
	}
	return ratioAt(1)
}

// bucketOf returns the index of the bucket of a ratio.
func bucketOf(ratio float64) int {
	if ratio <= lowestRatio {
		return 0
	}
	return min(int(math.Log2(min(ratio, highestRatio)/lowestRatio)*bucketsPerDoubling), bucketCount-1)
}

// ratioAt returns the ratio at a position in the histogram, counted in buckets.
func ratioAt(position float64) Ratio {
	return Ratio(lowestRatio * math.Exp2(position/bucketsPerDoubling))
}
