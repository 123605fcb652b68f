// Package boottime reads the boot-time clock, by which the age of cached state is
// computed. The clock continues while the host is suspended and does not follow
// changes of the wall clock.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot-time clock, in nanoseconds since the host
// started. Instants of different hosts cannot be compared. The zero Instant lies
// before all others.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("the boot-time clock cannot be read: " + err.Error())
	}
	return Instant(reading.Nano())
}

// AddMillis returns the instant that is the given number of milliseconds later.
func (i Instant) AddMillis(millis int64) Instant {
	return i + Instant(millis*int64(time.Millisecond))
}

// MillisSince returns the time from earlier to i in whole milliseconds.
func (i Instant) MillisSince(earlier Instant) int64 {
	return int64(i-earlier) / int64(time.Millisecond)
}

// Before reports whether i lies before other.
func (i Instant) Before(other Instant) bool {
	return i < other
}

// recheckMillis bounds the time by which PauseUntil returns late if the host was suspended.
const recheckMillis = 100

// PauseUntil waits until the given instant or until ctx ends. The time for which the host is suspended
// counts.
func PauseUntil(ctx context.Context, at Instant) {
	for ctx.Err() == nil {
		left := at.MillisSince(Now())
		if left <= 0 {
			return
		}
		Pause(ctx, min(left, recheckMillis))
	}
}

// Pause waits for the given number of milliseconds or until ctx ends.
func Pause(ctx context.Context, millis int64) {
	if millis <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
