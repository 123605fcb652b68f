package backendhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/poller"
)

const (
	// minListPeriodMillis is the shortest period at which the list is read for entry
	// hosts. A process beside a backend server needs them only to compare
	// versions.
	minListPeriodMillis = 30000
	// listBytesPerSecond bounds what reading the list costs on average.
	listBytesPerSecond = 200
	// maxKnown bounds the entry hosts that are kept.
	maxKnown = 16
)

// entryHosts holds some entry hosts to compare configuration versions with. It
// is safe for concurrent use.
type entryHosts struct {
	// seeds come from the settings and are always kept.
	seeds []string
	// onList takes each list that was read; it may be nil.
	onList func([]hostlist.Host)

	mu    sync.Mutex
	known []string
	// listSize counts the hosts of the list read last.
	listSize int
}

// addresses returns the peer addresses known now.
func (e *entryHosts) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.known) == 0 {
		return e.seeds
	}
	return e.known
}

// hostCount counts the hosts of the list read last.
func (e *entryHosts) hostCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listSize
}

// run reads the list now and then until ctx ends. Without an answer the known
// ones stay.
func (e *entryHosts) run(ctx context.Context, hosts *hostlist.Client) error {
	period := minListPeriodMillis
	for {
		if listed, err := hosts.Hosts(ctx); err == nil {
			e.update(listed)
			if e.onList != nil {
				e.onList(listed)
			}
			period = max(minListPeriodMillis, poller.ListPeriodMillis(len(listed), listBytesPerSecond))
		}
		next := time.Now().Add(time.Duration(period/2+rand.IntN(period)) * time.Millisecond)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// update keeps a random part of the listed entry hosts.
func (e *entryHosts) update(listed []hostlist.Host) {
	var found []string
	for _, h := range listed {
		if h.Role == hostlist.RoleEntry && h.State == hostlist.StateLive {
			found = append(found, h.PeerAddress)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = found[:min(len(found), maxKnown)]
	e.listSize = len(listed)
}
