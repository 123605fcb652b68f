package lifecycle

import "github.com/fulmarvalve/fulmarvalve/internal/records/boottime"

const millisPerSecond = 1000

// Reserve is the end of a grace period that a process keeps for the answers and messages about the work that
// it has ended: its platform ends the process when the grace period is over, whatever it is doing.
type Reserve struct {
	// Millis is the length of the reserve, unless Share is less.
	Millis float64
	// Share bounds the reserve to a part of the grace period, so that a short one is not used up by it. It is
	// between 0 and 1.
	Share float64
}

// LastQuarter returns the last quarter of the reserve.
func (r Reserve) LastQuarter() Reserve {
	const quarter = 0.25
	return Reserve{Millis: r.Millis * quarter, Share: r.Share * quarter}
}

// BeginsAt returns the time at which the reserve begins for a process that is signalled to stop at the given
// time.
func (r Reserve) BeginsAt(signalledAt boottime.Instant, graceSeconds float64) boottime.Instant {
	graceMillis := graceSeconds * millisPerSecond
	return signalledAt.AddMillis(int64(graceMillis - min(r.Millis, r.Share*graceMillis)))
}
