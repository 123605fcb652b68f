package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
)

// TestPlatformStoreRestored restores the store from an older copy while it is away, and
// writes as many records as were lost, so that their offsets are given out again. Entry
// hosts must learn of what was written there, and must not go back to what the copy says:
// the older configuration, and servers that are draining or gone. One host reads the store
// itself, the other one through it.
func TestPlatformStoreRestored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 3)
	client := s.settings
	client.Name = "client"
	client.CallerAddress, client.ReadyAddress, client.ControlAddress = s.pool.next(), s.pool.next(), s.pool.next()
	client.MetricsPort = platformPeerPort + 2
	client.Readers = []string{s.settings.ControlAddress}
	newProgram(t, "client", "direct-entry", s.write("client", client)).start()
	eventually(t, "client entry host ready", func() error { return readyAt(client.ReadyAddress) })
	draining, gone, free := s.plainServices[0], s.plainServices[1], s.plainServices[2]

	older := s.log.Copy()
	s.register(draining, "plain", "draining")
	s.log.Put("keyed.servers", gone.ID, nil)
	s.configure("newer key")
	time.Sleep(platformApplyMillis * time.Millisecond)

	s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(500 * time.Millisecond)
	s.log.Restore(older)
	added := s.newReplica("desk-added", s.pool.ip)
	s.register(added, "plain", "ready")
	s.register(free, "plain", "draining")
	s.configure("newest key")
	s.log.SetFaults(keyedlog.Faults{})
	time.Sleep(platformApplyMillis * time.Millisecond)

	before := len(s.arrivals())
	for n, address := range []string{s.settings.CallerAddress, client.CallerAddress} {
		for _, key := range []string{platformKey, "newer key"} {
			reply := s.sendTo(context.Background(), http.DefaultClient, address, plainRequest(fmt.Sprint(n, key), key))
			is.Equal(reply.status, http.StatusUnauthorized)
		}
		for i := range 10 {
			reply := s.sendTo(context.Background(), http.DefaultClient, address, plainRequest(fmt.Sprint("r", n, i), "newest key"))
			is.Equal(reply.status, http.StatusOK)
		}
	}
	is.Equal(len(s.arrivals())-before, 0) // nothing reached a server that is draining or gone
	is.Equal(len(added.Arrivals()), 20)
}
