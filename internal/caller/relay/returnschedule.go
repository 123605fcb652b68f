package relay

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// returnsWeight is the weight of the newest observation in the moving averages.
	returnsWeight = 0.1
	// firstWaitMillis and firstIntervalMillis are the averages that are assumed at
	// first.
	firstWaitMillis     = 1000
	firstIntervalMillis = 100
	// minReturnMillis and maxReturnMillis bound the retry time.
	minReturnMillis = 200
	maxReturnMillis = 5000
)

// returnSchedule decides when callers that were refused for lack of room return: after
// the average time until requests find room, and one after the other at the rate at
// which they do. It is safe for concurrent use. The zero value is ready to use.
type returnSchedule struct {
	mu sync.Mutex
	// waitMillis is the average time until a request found room, a few milliseconds
	// while engines have some. It is zero before the first one.
	waitMillis float64
	// intervalMillis is the average time between two placements. It is zero before the
	// second one.
	intervalMillis float64
	placedAt       boottime.Instant
	// lastAt is the time at which the last refused caller returns.
	lastAt boottime.Instant
}

// recordPlaced records that a request found room, and the time until then.
func (r *returnSchedule) recordPlaced(waitedMillis int64, now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waitedMillis > 0 {
		r.waitMillis = average(r.waitMillis, float64(waitedMillis), firstWaitMillis)
	}
	if r.placedAt != 0 {
		r.intervalMillis = average(r.intervalMillis, float64(now.MillisSince(r.placedAt)), firstIntervalMillis)
	}
	r.placedAt = now
}

// nextReturn returns the time in milliseconds after which a caller whose request found
// no room should return.
func (r *returnSchedule) nextReturn(waitedMillis int64, now boottime.Instant) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Room would have come no sooner than now.
	r.waitMillis = average(r.waitMillis, max(float64(waitedMillis), r.waitMillis), firstWaitMillis)
	at := now.AddMillis(int64(r.waitMillis))
	if following := r.lastAt.AddMillis(int64(r.intervalMillis)); at.Before(following) {
		at = following
	}
	r.lastAt = at
	return min(max(at.MillisSince(now), minReturnMillis), maxReturnMillis)
}

// average returns a moving average with a further value. Zero stands for an average
// without values, for which first is assumed.
func average(current, value, first float64) float64 {
	if current == 0 {
		current = first
	}
	return current + returnsWeight*(value-current)
}
