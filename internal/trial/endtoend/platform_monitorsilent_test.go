package endtoend

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMonitorStopDoesNotAwaitSilentConnection guards against a process beside an engine that may outlive its
// grace period because a connection to its metrics port has sent nothing yet.
func TestMonitorStopDoesNotAwaitSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const mostMillis = 700
	s := newPlatformSite(t, 1, 0)
	e := s.engines[0]
	host, _, err := net.SplitHostPort(e.Addr())
	is.NoErr(err)
	var conn net.Conn
	eventually(t, "the metrics port is open", func() error {
		conn, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", net.JoinHostPort(host, strconv.Itoa(platformPeerPort+1)))
		return err
	})
	defer func() { _ = conn.Close() }()
	begun := time.Now()
	e.monitor.terminate()
	is.Equal(e.monitor.exitCode(), 0)
	is.True(e.monitor.loggedAt("stopped").Sub(begun) < mostMillis*time.Millisecond)
}
