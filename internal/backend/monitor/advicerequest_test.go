package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// TestFewHostsAreAskedForAdvice replays the shutdown of an engine that a hundred entry hosts
// watch: each request for advice goes to a few of them, and not always to the same ones.
func TestFewHostsAreAskedForAdvice(t *testing.T) {
	for _, hosts := range []int{0, 1, advisers, 100} {
		is := is.New(t)
		m := &Monitor{watchers: make(map[*watcher]struct{})}
		for range hosts {
			m.watchers[&watcher{outbox: make(chan *sighting.Sighting, outboxLength)}] = struct{}{}
		}
		const requests = 10
		for range requests {
			m.askAdvisers(boottime.Now().AddMillis(1800))
		}
		messages, asked := 0, 0
		for w := range m.watchers {
			messages += len(w.outbox)
			if len(w.outbox) > 0 {
				asked++
				is.True((<-w.outbox).GetNotice().GetWantsAdvice())
			}
		}
		is.Equal(messages, requests*min(hosts, advisers))
		is.True(asked >= min(hosts, advisers+1))
	}
}
