package monitor

import (
	"context"
	"math/rand/v2"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// advisers is the number of entry hosts that are asked for advice at a time. The cost of
	// a shutdown then does not grow with the number of entry hosts, and one that is
	// unresponsive is made up for by the others.
	advisers = 3
	// secondRequestMillis is the time from the first request for advice to the second one,
	// by which the shutdown notices of other engines have reached the entry hosts.
	secondRequestMillis = 45
	// adviceRepeatMillis is the pause between the later requests for advice.
	adviceRepeatMillis = 200
)

// requestAdvice asks entry hosts for advice until the engine shuts down. Each request goes
// to other ones.
func (m *Monitor) requestAdvice(ctx context.Context, leavesAt boottime.Instant) {
	pauseMillis := int64(secondRequestMillis)
	for ctx.Err() == nil && boottime.Now().Before(leavesAt) {
		m.askAdvisers(leavesAt)
		boottime.Pause(ctx, pauseMillis)
		pauseMillis = adviceRepeatMillis
	}
}

// askAdvisers asks some of the watching entry hosts for advice.
func (m *Monitor) askAdvisers(leavesAt boottime.Instant) {
	notice := shutdownNotice(leavesAt, boottime.Now(), true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.identifySighting(notice)
	for _, w := range m.pickWatchers(advisers) {
		m.enqueue(w, notice)
	}
}

// pickWatchers returns up to count watchers at random. The caller holds the mutex.
func (m *Monitor) pickWatchers(count int) []*watcher {
	all := make([]*watcher, 0, len(m.watchers))
	for w := range m.watchers {
		all = append(all, w)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}
