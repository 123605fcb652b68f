package lifecycle

import "github.com/fulmarvalve/fulmarvalve/internal/records/boottime"

const (
	// beatMillis is the period at which a process notes that it runs.
	beatMillis = 100
	// standstillMillis is the time without a note after which the process counts as having stood still.
	standstillMillis = 300
	// handlingMillis is the time after a standstill in which a signal is handled that came during it.
	handlingMillis = 100
)

// standstill finds out when a signal came to a process that may have stood still before it handles
// the signal. On an overloaded host a process may wait for seconds.
type standstill struct {
	// beatAt is the last time at which the process is known to have run.
	beatAt boottime.Instant
	// from and until bound the last standstill, from < until <= beatAt; zero if there was none.
	from, until boottime.Instant
}

// WithBeat returns the state after the process ran at the given time.
func (s standstill) WithBeat(now boottime.Instant) standstill {
	if s.beatAt != 0 && now.MillisSince(s.beatAt) > standstillMillis {
		s.from, s.until = s.beatAt, now
	}
	s.beatAt = now
	return s
}

// SignalledAt returns the earliest time at which a signal may have come that is handled now.
func (s standstill) SignalledAt(now boottime.Instant) boottime.Instant {
	s = s.WithBeat(now)
	if s.until != 0 && now.MillisSince(s.until) <= handlingMillis {
		return s.from
	}
	return now
}
