package endtoend

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
)

// plainRequest is a request of a plain service that may be repeated.
func plainRequest(id, key string) callerRequest {
	return callerRequest{method: http.MethodGet, target: plainPath, id: id, key: key}
}

func TestPlatformKeyExpiresWithoutStore(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]keyedlog.Faults{
		"refused": {RefuseStatus: http.StatusTooManyRequests},
		"silent":  {Unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 0, 1)
			s.log.SetFaults(faults)
			lost := time.Now()
			s.configure("another key") // the key is taken away where this host cannot see it
			for n := 0; time.Since(lost) < 2*platformRevokeMillis*time.Millisecond; n++ {
				sent := time.Now()
				got := s.send(context.Background(), plainRequest("revoked", platformKey))
				if sent.Sub(lost) > platformRevokeMillis*time.Millisecond {
					is.Equal(got.status, http.StatusServiceUnavailable) // nothing vouches for the key
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.True(s.ready() != nil)
			s.log.SetFaults(keyedlog.Faults{})
			eventually(t, "ready again", s.ready)
			is.Equal(s.send(context.Background(), plainRequest("old", platformKey)).status, http.StatusUnauthorized)
			is.Equal(s.send(context.Background(), plainRequest("new", "another key")).status, http.StatusOK)
		})
	}
}

func TestPlatformConfigurationNeverRegresses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.configure("newer key")
	eventually(t, "newer key in force", func() error {
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

func TestPlatformStartsWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
	s.entry.kill()
	s.startEntry()
	eventually(t, "answers", func() error { return s.send(context.Background(), plainRequest("a", platformKey)).err })
	got := s.send(context.Background(), plainRequest("b", platformKey))
	is.Equal(got.status, http.StatusServiceUnavailable) // it knows no configuration
	is.True(got.header.Get("Retry-After") != "")
	is.True(s.ready() != nil)
	s.log.SetFaults(keyedlog.Faults{})
	eventually(t, "ready", s.ready)
	is.Equal(s.send(context.Background(), plainRequest("c", platformKey)).status, http.StatusOK)
}

// A host that the store turns away learns from one that reaches it, with the
// age of what it learns, also when it has just started.
func TestPlatformConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	reader := s.entry
	cut := s.settings
	cut.Name = "cut"
	cut.CallerAddress, cut.ReadyAddress, cut.ControlAddress = s.pool.next(), s.pool.next(), s.pool.next()
	cut.MetricsPort = platformPeerPort + 2
	cut.StoreAddress = s.pool.next() // nobody listens there
	cut.Readers = []string{s.pool.next(), s.settings.ControlAddress}
	second := newProgram(t, "cut", "direct-entry", s.write("cut", cut))
	second.start()
	s.settings = cut // requests go to the second host from here on
	eventually(t, "the host that is cut off is ready", s.ready)
	is.Equal(s.send(context.Background(), plainRequest("a", platformKey)).status, http.StatusOK)

	s.configure("newer key")
	time.Sleep(platformApplyMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("b", platformKey)).status, http.StatusUnauthorized)
	is.Equal(s.send(context.Background(), plainRequest("c", "newer key")).status, http.StatusOK)

	reader.kill()
	time.Sleep(platformRevokeMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("d", "newer key")).status, http.StatusServiceUnavailable)
	is.True(s.ready() != nil) // nobody confirms the key any longer
}

// A host that reaches the store has a change in force in time although the host
// that it asks has lost the store.
func TestPlatformStaleReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	other := &keyedlog.Log{}
	s.serve(func(ctx context.Context) error { return other.Serve(ctx, s.pool.ip+":0", other.Routes()) })
	address := other.Addr()
	other.Put("keyed.op", "config", []byte(platformConfiguration(1, []string{platformKey})))
	s.registerIn(other, s.plainServices[0], "plain", "ready")

	asker := s.settings
	asker.Name = "asker"
	asker.CallerAddress, asker.ReadyAddress, asker.ControlAddress = s.pool.next(), s.pool.next(), s.pool.next()
	asker.MetricsPort = platformPeerPort + 2
	asker.StoreAddress = address
	asker.Readers = []string{s.settings.ControlAddress}
	newProgram(t, "asker", "direct-entry", s.write("asker", asker)).start()
	s.settings = asker
	eventually(t, "the asking host is ready", s.ready)

	s.log.SetFaults(keyedlog.Faults{Unresponsive: true}) // the reader's path is lost
	other.Put("keyed.op", "config", []byte(platformConfiguration(2, []string{"newer key"})))
	time.Sleep(platformApplyMillis * time.Millisecond)
	is.Equal(s.send(context.Background(), plainRequest("old", platformKey)).status, http.StatusUnauthorized)
	is.Equal(s.send(context.Background(), plainRequest("new", "newer key")).status, http.StatusOK)
}

// A host that was suspended while a key was taken away does not accept it when it
// goes on: neither on a connection from before, nor while the store is silent.
func TestPlatformSuspendedHost(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]keyedlog.Faults{
		"store answers":   {},
		"store is silent": {Unresponsive: true},
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
			time.Sleep(readMillis * time.Millisecond) // reads from before end without the change
			s.configure("another key")
			time.Sleep((platformRevokeMillis + 300) * time.Millisecond)
			close(begin)
			time.Sleep(100 * time.Millisecond) // the requests wait in the host's buffers
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
