package placement

import (
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// assumedEntryHosts is the number of entry hosts that is assumed while no engine
	// has reported its watchers.
	assumedEntryHosts = 32
	// rememberedMillis is the time for which a number of watchers that is higher than the
	// ones reported later still counts. A monitor that was restarted reports only the
	// hosts that have connected to it again.
	rememberedMillis = 5000
)

// hostCount is the number of entry hosts: the highest number of watchers that an engine
// reported lately. The number is read without a lock.
type hostCount struct {
	// most is zero before the first report.
	most atomic.Int64
	// reportedAt is the time of the last report with that number.
	reportedAt boottime.Instant
}

// observe records a number of watchers; zero stands for an unknown one. Its calls must not
// overlap.
func (c *hostCount) observe(watchers int, now boottime.Instant) {
	lower := int64(watchers) < c.most.Load()
	if watchers == 0 || lower && now.MillisSince(c.reportedAt) <= rememberedMillis {
		return
	}
	c.most.Store(int64(watchers))
	c.reportedAt = now
}

// EntryHosts returns the number of entry hosts.
func (l *LoadTable) EntryHosts() int {
	if count := l.entryHosts.most.Load(); count > 0 {
		return int(count)
	}
	return assumedEntryHosts
}
