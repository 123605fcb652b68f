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
	// minListPeriodMillis is the shortest mean period at which the host list is
	// read. It may be long, because a process beside a backend server needs the
	// entry hosts only to exchange configuration versions.
	minListPeriodMillis = 30000
	// listBytesPerSecond limits the average traffic of reading the host list.
	listBytesPerSecond = 200
	// maxKnown limits the number of entry hosts that are kept.
	maxKnown = 16
)

// entryHosts holds some entry hosts, with which the process exchanges configuration
// versions. It is safe for concurrent use.
type entryHosts struct {
	// seeds are the peer addresses from the settings. They are used while no live
	// entry host is known from the host list.
	seeds []string
	// onList receives each host list that was read. It may be nil.
	onList func([]hostlist.Host)

	mu    sync.Mutex
	known []string
	// listSize is the number of hosts in the list read last.
	listSize int
}

// addresses returns the known peer addresses.
func (e *entryHosts) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.known) == 0 {
		return e.seeds
	}
	return e.known
}

// hostCount returns the number of hosts in the list read last.
func (e *entryHosts) hostCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listSize
}

// run reads the host list periodically until ctx ends. If a read fails, the known
// entry hosts are kept.
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

// update replaces the known entry hosts by a random selection of the listed ones.
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
