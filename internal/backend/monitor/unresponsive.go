package monitor

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/signal"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
)

// maxStatingHosts bounds the hosts whose statements wait to be passed on.
const maxStatingHosts = 512

// unresponsiveServers collects what entry hosts state of unresponsive backend servers until it
// is passed on. It is safe for concurrent use. The zero value is ready to use.
type unresponsiveServers struct {
	mu sync.Mutex
	// pending holds the newest statement of each host that was not passed on yet.
	pending map[uint64]heldStatement
	// wake says that there are pending statements.
	wake signal.Signal
}

// heldStatement is the statement of one host.
type heldStatement struct {
	stated     *sighting.Unresponsive
	receivedAt boottime.Instant
}

// add adds the statement of one host. Each statement of a host names all that it has to state.
func (u *unresponsiveServers) add(stated *sighting.Unresponsive, now boottime.Instant) {
	servers := stated.GetServers()
	stated.Servers = servers[:min(len(servers), unresponsive.MaxStatements)]
	u.mu.Lock()
	if u.pending == nil {
		u.pending = make(map[uint64]heldStatement)
	}
	_, waits := u.pending[stated.GetHost()]
	if waits || len(u.pending) < maxStatingHosts {
		u.pending[stated.GetHost()] = heldStatement{stated: stated, receivedAt: now}
	}
	u.mu.Unlock()
	u.wake.Set()
}

// take returns the pending statements with their age and removes them. Old ones are dropped.
func (u *unresponsiveServers) take(now boottime.Instant) []*sighting.Unresponsive {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []*sighting.Unresponsive
	for _, held := range u.pending {
		age := int64(held.stated.GetAgeMillis()) + now.MillisSince(held.receivedAt)
		if age <= unresponsive.StaleMillis {
			held.stated.AgeMillis = uint32(age)
			all = append(all, held.stated)
		}
	}
	u.pending = nil
	return all
}
