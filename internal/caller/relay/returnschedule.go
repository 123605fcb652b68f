package relay

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.1
	// firstIntervalMillis is the average that is assumed at first.
	firstIntervalMillis = 100
	// minReturnMillis and maxReturnMillis bound the retry time. Within the least one,
	// some run ends on a busy deployment.
	minReturnMillis = 200
	maxReturnMillis = 5000
)

// returnSchedule decides when callers that were refused for lack of room return: one
// after the other, at the rate at which requests find room. It is safe for concurrent
// use. The zero value is ready to use.
type returnSchedule struct {
	mu sync.Mutex
	// intervalMillis is the average time between two placements. It is zero before the
	// second one.
	intervalMillis float64
	placedAt       boottime.Instant
	// lastAt is the time at which the last refused caller returns.
	lastAt boottime.Instant
}

// recordPlaced records that a request found room.
func (r *returnSchedule) recordPlaced(now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placedAt != 0 {
		if r.intervalMillis == 0 {
			r.intervalMillis = firstIntervalMillis
		}
		r.intervalMillis += intervalWeight * (float64(now.MillisSince(r.placedAt)) - r.intervalMillis)
	}
	r.placedAt = now
}

// nextReturn returns the time in milliseconds after which a caller whose request found
// no room should return.
func (r *returnSchedule) nextReturn(now boottime.Instant) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.AddMillis(minReturnMillis)
	if following := r.lastAt.AddMillis(int64(r.intervalMillis)); at.Before(following) {
		at = following
	}
	r.lastAt = min(at, now.AddMillis(maxReturnMillis))
	return r.lastAt.MillisSince(now)
}
