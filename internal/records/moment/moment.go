// Package moment is the clock by which the age of knowledge is reckoned. It
// goes on while a host is suspended and does not follow the time of day.
package moment

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a reading of the boot-time clock, in nanoseconds. Moments of
// different hosts cannot be compared. The zero Moment lies before all others.
type Moment int64

// Now returns the current moment.
func Now() Moment {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic("the boot-time clock cannot be read: " + err.Error())
	}
	return Moment(reading.Nano())
}

// AddMillis returns the moment that many milliseconds later.
func (m Moment) AddMillis(millis int64) Moment {
	return m + Moment(millis*int64(time.Millisecond))
}

// MillisSince returns the whole milliseconds from earlier to m.
func (m Moment) MillisSince(earlier Moment) int64 {
	return int64(m-earlier) / int64(time.Millisecond)
}

// Before reports whether m lies before other.
func (m Moment) Before(other Moment) bool {
	return m < other
}

// Pause waits that many milliseconds, or returns early when ctx ends.
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
