package placement

import (
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// assumedEntryHosts is the number of entry hosts that is assumed while no engine
	// has reported its watchers.
	assumedEntryHosts = 32
	// rememberedMillis is the length of the windows over which the highest number of
	// watchers counts. A monitor that was restarted reports only the hosts that have
	// connected to it again.
	rememberedMillis = 5000
)

// hostCount is the number of entry hosts: the highest number of watchers that an engine
// reported in the current window and the one before it. The number is read without a lock.
type hostCount struct {
	// most is zero before the first report.
	most atomic.Int64
	// current and previous are the highest numbers in the two windows, of which the
	// current one began at beganAt.
	current  int
	previous int
	beganAt  boottime.Instant
}

// observe records a number of watchers; zero stands for an unknown one. Its calls must not
// overlap.
func (c *hostCount) observe(watchers int, now boottime.Instant) {
	if watchers == 0 {
		return
	}
	if now.MillisSince(c.beganAt) > rememberedMillis {
		c.previous, c.current, c.beganAt = c.current, 0, now
	}
	c.current = max(c.current, watchers)
	c.most.Store(int64(max(c.current, c.previous)))
}

// EntryHosts returns the number of entry hosts.
func (l *LoadTable) EntryHosts() int {
	if count := l.entryHosts.most.Load(); count > 0 {
		return int(count)
	}
	return assumedEntryHosts
}
