package endtoend

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// TestMonitorStopKeepsToChangedGrace guards against a process beside an engine that outlives its grace
// period, which was shortened in the settings file after the start: it would be killed before it has said
// which runs are not moved.
func TestMonitorStopKeepsToChangedGrace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const graceMillis, longEvents = 1500, 600
	s := newPlatformSite(t, 2, 0)
	await := s.sendInBackground(streamRequest("long", longEvents))
	e := s.activeEngine()
	s.setEngineFaults(replica.Faults{RefuseMigrations: true})
	e.Drain(time.Now().Add(time.Minute))
	host, _, err := net.SplitHostPort(e.Addr())
	is.NoErr(err)
	settings := s.monitorSettings(e, host)
	settings.GraceSeconds = float64(graceMillis) / 1000
	s.write("monitor-"+e.ID, settings)
	begun := time.Now()
	e.monitor.terminate()
	is.Equal(e.monitor.exitCode(), 0)
	is.True(e.monitor.loggedAt("stopped").Sub(begun) < graceMillis*time.Millisecond)
	s.entry.kill()
	await()
}
