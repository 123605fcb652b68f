package endtoend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
)

// plainRequest returns an idempotent request to the plain service.
func plainRequest(id, key string) callerRequest {
	return callerRequest{method: http.MethodGet, target: plainPath, id: id, key: key}
}

// TestPlatformKeyExpiresWithoutStore removes an API key while the entry host cannot
// read the store. The entry host must accept the key no longer than the revocation
// time and then refuse all requests until it can read the store again.
func TestPlatformKeyExpiresWithoutStore(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]keyedlog.Faults{
		"refused":      {RefuseStatus: http.StatusTooManyRequests},
		"unresponsive": {Unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 0, 1)
			s.log.SetFaults(faults)
			lostAt := time.Now()
			s.configure("another key") // removes the key; the host cannot read this
			for n := 0; time.Since(lostAt) < 2*platformRevokeMillis*time.Millisecond; n++ {
				sentAt := time.Now()
				got := s.send(context.Background(), plainRequest("revoked", platformKey))
				if sentAt.Sub(lostAt) > platformRevokeMillis*time.Millisecond {
					is.Equal(got.status, http.StatusServiceUnavailable) // the key is no longer confirmed as valid
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.True(s.ready() != nil)
			s.log.SetFaults(keyedlog.Faults{})
			eventually(t, "entry host ready again", s.ready)
			is.Equal(s.send(context.Background(), plainRequest("old", platformKey)).status, http.StatusUnauthorized)
			is.Equal(s.send(context.Background(), plainRequest("new", "another key")).status, http.StatusOK)
		})
	}
}

// TestPlatformConfigurationNeverRegresses writes an older configuration version to
// the store and deletes the store's history. The entry host must keep the newer
// version.
func TestPlatformConfigurationNeverRegresses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.configure("newer key")
	eventually(t, "newer key is accepted", func() error {
		if s.send(context.Background(), plainRequest("n", "newer key")).status != http.StatusOK {
			return errNotYet
		}
		return nil
	})
	s.log.Put("keyed.op", "config", []byte(platformConfiguration(1, []string{platformKey})))
	s.log.DeleteHistory("keyed.op")
	s.log.DeleteHistory("keyed.servers")
	time.Sleep(1500 * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("old", platformKey)).status, http.StatusUnauthorized)
	is.Equal(s.send(context.Background(), plainRequest("new", "newer key")).status, http.StatusOK)
}

// TestPlatformStartsWithoutStore starts an entry host while the store refuses reads.
// It must answer 503, and become ready when the store serves again.
func TestPlatformStartsWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
	s.entry.kill()
	s.startEntry()
	eventually(t, "entry host answers", func() error { return s.send(context.Background(), plainRequest("a", platformKey)).err })
	got := s.send(context.Background(), plainRequest("b", platformKey))
	is.Equal(got.status, http.StatusServiceUnavailable) // it has no configuration yet
	is.True(got.header.Get("Retry-After") != "")
	is.True(s.ready() != nil)
	s.log.SetFaults(keyedlog.Faults{})
	eventually(t, "entry host ready", s.ready)
	is.Equal(s.send(context.Background(), plainRequest("c", platformKey)).status, http.StatusOK)
}

// TestPlatformConfigurationFromPeers checks that an entry host that cannot reach the
// store, even at its start, reads the configuration from one that can. It must also
// learn the age of that configuration: when the other host is killed, it stops
// accepting keys after the revocation time.
func TestPlatformConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	reader := s.entry
	isolated := s.settings
	isolated.Name = "isolated"
	isolated.CallerAddress, isolated.ReadyAddress, isolated.ControlAddress = s.pool.next(), s.pool.next(), s.pool.next()
	isolated.MetricsPort = platformPeerPort + 2
	isolated.StoreAddress = s.pool.next() // an address without a listener
	isolated.Readers = []string{s.pool.next(), s.settings.ControlAddress}
	second := newProgram(t, "isolated", "direct-entry", s.write("isolated", isolated))
	second.start()
	s.settings = isolated // from here on, requests go to the second host
	eventually(t, "isolated entry host ready", s.ready)
	is.Equal(s.send(context.Background(), plainRequest("a", platformKey)).status, http.StatusOK)

	s.configure("newer key")
	time.Sleep(platformApplyMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("b", platformKey)).status, http.StatusUnauthorized)
	is.Equal(s.send(context.Background(), plainRequest("c", "newer key")).status, http.StatusOK)

	reader.kill()
	time.Sleep(platformRevokeMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("d", "newer key")).status, http.StatusServiceUnavailable)
	is.True(s.ready() != nil) // no host confirms the key any longer
}

// TestPlatformStaleReader checks that an entry host that can reach the store applies
// a change in time, although its reader has lost the store. A reader is an entry host
// that reads the store on behalf of others. In this test, the reader and its client,
// the other entry host, have a store each, so that only the reader loses it.
func TestPlatformStaleReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	other := &keyedlog.Log{}
	s.serve(func(ctx context.Context) error { return other.Serve(ctx, s.pool.ip+":0", other.Routes()) })
	address := other.Addr()
	other.Put("keyed.op", "config", []byte(platformConfiguration(1, []string{platformKey})))
	s.registerIn(other, s.plainServices[0], "plain", "ready")

	client := s.settings
	client.Name = "client"
	client.CallerAddress, client.ReadyAddress, client.ControlAddress = s.pool.next(), s.pool.next(), s.pool.next()
	client.MetricsPort = platformPeerPort + 2
	client.StoreAddress = address
	client.Readers = []string{s.settings.ControlAddress}
	newProgram(t, "client", "direct-entry", s.write("client", client)).start()
	s.settings = client
	eventually(t, "client entry host ready", s.ready)

	s.log.SetFaults(keyedlog.Faults{Unresponsive: true}) // the reader loses its store
	other.Put("keyed.op", "config", []byte(platformConfiguration(2, []string{"newer key"})))
	time.Sleep(platformApplyMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("old", platformKey)).status, http.StatusUnauthorized)
	is.Equal(s.send(context.Background(), plainRequest("new", "newer key")).status, http.StatusOK)
}

// TestPlatformSuspendedHost suspends an entry host while an API key is removed. After
// it continues, it must not accept the key, neither on connections that were open
// before nor while the store is unresponsive.
func TestPlatformSuspendedHost(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]keyedlog.Faults{
		"store answers":         {},
		"store is unresponsive": {Unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const connections, readMillis = 8, 800
			s := newPlatformSite(t, 0, 1)
			var group errgroup.Group
			begin := make(chan struct{})
			replies := make([]callerReply, connections)
			for n := range connections {
				conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.settings.CallerAddress)
				is.NoErr(err)
				t.Cleanup(func() { _ = conn.Close() })
				group.Go(func() error {
					<-begin
					replies[n] = s.sendOver(conn, plainRequest("suspended", platformKey))
					return nil
				})
			}
			s.entry.signal(syscall.SIGSTOP)
			s.log.SetFaults(faults)
			time.Sleep(readMillis * time.Millisecond) // reads that are already open end without the change
			s.configure("another key")
			time.Sleep((platformRevokeMillis + 300) * time.Millisecond)
			close(begin)
			time.Sleep(100 * time.Millisecond) // the requests wait in the socket buffers of the host
			s.entry.signal(syscall.SIGCONT)
			is.NoErr(group.Wait())
			for _, reply := range replies {
				is.NoErr(reply.err)
				is.True(reply.status == http.StatusUnauthorized || reply.status == http.StatusServiceUnavailable)
			}
			is.Equal(len(s.plainServices[0].Arrivals()), 0)
		})
	}
}

// TestPlatformServesSoonAfterAPause pauses the entry host for longer than keys are accepted
// without a confirmation. Afterwards it must confirm its configuration without waiting for a
// change, as it refuses requests until then.
func TestPlatformServesSoonAfterAPause(t *testing.T) {
	t.Parallel()
	const pauses, pauseMillis, soonMillis = 3, platformRevokeMillis + 700, 200
	s := newPlatformSite(t, 0, 1)
	soonest := time.Hour
	for n := range pauses {
		s.entry.freeze()
		time.Sleep(pauseMillis * time.Millisecond)
		s.entry.thaw()
		thawedAt := time.Now()
		eventually(t, "a request is served", func() error {
			if s.send(context.Background(), plainRequest(fmt.Sprint("again-", n), platformKey)).status != http.StatusOK {
				return errNotYet
			}
			return nil
		})
		soonest = min(soonest, time.Since(thawedAt))
	}
	t.Logf("served %v after the pause, at best of %d", soonest, pauses)
	if soonest > soonMillis*time.Millisecond {
		t.Errorf("the first request was served %v after the pause, want at most %d ms", soonest, soonMillis)
	}
}
