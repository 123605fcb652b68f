package pauseforecast

import (
	"math"
	"slices"
)

const (
	// groupEvents is the number of events without a long pause that ends a group of long
	// pauses. A slow period, or a prompt beside a run, has a long pause every few events. A
	// constant rate of groups is assumed beyond that.
	groupEvents = 16
	// errorBuckets is the error of an engine's time between events, counted in buckets: 2.5 % in
	// either direction. Without it, equal engines whose limit lies at a frequent ratio would
	// seem to differ.
	errorBuckets = 1
	// minRiskShare is the least share of samples outside groups from which the rate of
	// groups is estimated. With a smaller one, nearly all samples follow a long pause.
	minRiskShare = 1e-3
	// certain is the probability from which lower limits are not told apart.
	certain = 0.999

	microsPerMilli = 1000
)

// Recent holds the last pauses of one stream at one engine, so that the model learns which
// long pauses come together. It is not safe for concurrent use. The zero value is that of a
// stream without pauses.
type Recent struct {
	// buckets holds the buckets of the last pauses, in turn.
	buckets [groupEvents]uint8
	next    int
}

// longest returns the bucket of the longest of the pauses.
func (r *Recent) longest() int {
	return int(slices.Max(r.buckets[:]))
}

func (r *Recent) add(bucket int) {
	r.buckets[r.next] = uint8(bucket)
	r.next = (r.next + 1) % groupEvents
}

// Lateness is the probability that a pause of a stream exceeds its limit, for each time between
// events. It is a snapshot. The zero value is invalid.
type Lateness struct {
	// limitPosition is the position in the histogram at an engine whose time between events is
	// a microsecond.
	limitPosition float64
	// edges holds the probabilities at the lower edges of the buckets, and at the upper one of
	// the last bucket.
	edges [bucketCount + 1]float64
}

// LateProbability returns the probability that at least one pause of a stream of that many
// events exceeds a limit at an engine with the given time between events. It returns false while
// there are too few samples and for invalid values.
func (m *Model) LateProbability(service string, eventMicros, limitMillis int64, events int) (float64, bool) {
	lateness, ok := m.Lateness(service, limitMillis, events)
	if !ok || !validEvent(eventMicros) {
		return 0, false
	}
	return lateness.Probability(eventMicros), true
}

// Lateness is like LateProbability for all times between events. It serves the comparison of many
// engines.
func (m *Model) Lateness(service string, limitMillis int64, events int) (Lateness, bool) {
	if events < 1 || limitMillis < 1 || limitMillis > maxEventMicros/microsPerMilli {
		return Lateness{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.services[service]
	if !known || h.count < minSamples {
		return Lateness{}, false
	}
	return h.lateness(float64(limitMillis*microsPerMilli), float64(events)), true
}

// lateness returns the probabilities for a stream. Long pauses come in groups, so only the first of each
// group counts: the rate at which groups begin is that of pauses above the limit among those of which
// none of the groupEvents pauses before was above it.
func (h *histogram) lateness(limitMicros, events float64) Lateness {
	l := Lateness{limitPosition: math.Log2(limitMicros/lowestRatio) * bucketsPerDoubling}
	var probabilities [bucketCount]float64
	long, continued, after, probability := 0.0, 0.0, 0.0, 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		// A limit is in the middle of its bucket on average.
		long += h.buckets[i] / 2
		continued += h.continued[i] / 2
		after += h.after[i] / 2
		rate := 0.0
		switch outside := h.total - after; {
		case probability >= certain, long <= 0:
		case outside > minRiskShare*h.total:
			rate = min(max(long-continued, 0)/outside, 1)
		default:
			rate = long / h.total
		}
		if rate > 0 {
			// A lower limit can't be exceeded less often; an estimate may say so by chance.
			probability = max(probability, 1-math.Exp(events*math.Log(1-rate)))
		}
		probabilities[i] = probability
		long += h.buckets[i] / 2
		continued += h.continued[i] / 2
		after += h.after[i] / 2
	}
	var sums [bucketCount + 1]float64
	for i, p := range probabilities {
		sums[i+1] = sums[i] + p
	}
	for i := range l.edges {
		from, to := max(i-errorBuckets, 0), min(i+errorBuckets, bucketCount)
		l.edges[i] = (sums[to] - sums[from]) / float64(to-from)
	}
	return l
}

// Probability returns the probability at an engine with the given time between events, which is
// valid. It is the mean over the error of that time.
func (l *Lateness) Probability(eventMicros int64) float64 {
	position := l.limitPosition - math.Log(float64(eventMicros))*bucketsPerDoubling/math.Ln2
	position = min(max(position, 0), bucketCount)
	i := min(int(position), bucketCount-1)
	return l.edges[i] + (l.edges[i+1]-l.edges[i])*(position-float64(i))
}
