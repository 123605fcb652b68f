package endtoend

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStopEndsWithinGrace guards against a process that outlives its grace period, and is then
// killed, because a connection to its readiness port has sent nothing yet.
func TestPlannedStopEndsWithinGrace(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"no other connection": false, "silent connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const graceMillis, runMillis = 3000, 7000
			s := newAdjustedSite(t, 0, 1, withGrace(graceMillis/1000))
			await := s.openCall(runMillis)
			if silent {
				conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.settings.ReadyAddress)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
			}
			begun := time.Now()
			s.entry.terminate()
			is.Equal(await().status, http.StatusBadGateway)
			is.Equal(s.entry.exitCode(), 0)
			stopped := s.entry.loggedAt("stopped")
			is.True(stopped.Sub(begun) < graceMillis*time.Millisecond) // the last line; the race detector delays the exit
		})
	}
}
