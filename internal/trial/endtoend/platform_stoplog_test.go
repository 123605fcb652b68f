package endtoend

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// startPiped starts the process and returns the pipe to which it writes its log.
func (p *program) startPiped() *os.File {
	p.t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = reader.Close() })
	defer func() { _ = writer.Close() }()
	p.startWith(writer)
	return reader
}

// newSiteWithPipedLog starts a deployment whose entry host writes its log to the returned pipe, and whose
// server answers calls after runMillis.
func newSiteWithPipedLog(t *testing.T, runMillis int) (*platformSite, *os.File) {
	t.Helper()
	s := newAdjustedSite(t, 0, 1, withGrace(stopGraceSeconds))
	s.setPlainFaults(replica.Faults{RunMillis: runMillis})
	s.entry.kill()
	log := s.entry.startPiped()
	eventually(t, "entry host ready", s.ready)
	return s, log
}

// TestPlannedStopOutlivesItsLogReader guards against a process that ends with its open requests when it
// writes a line of its log that nothing reads any more.
func TestPlannedStopOutlivesItsLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const runMillis = 1000
	s, log := newSiteWithPipedLog(t, runMillis)
	await := s.openCall(runMillis)
	is.NoErr(log.Close())
	s.entry.terminate()
	got := await()
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(s.entry.exitCode(), 0)
}

// TestPlannedStopDoesNotAwaitItsLogReader guards against a process that outlives its grace period because
// the reader of its log stands still.
func TestPlannedStopDoesNotAwaitItsLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const refusals = 600 // whose lines are more than a pipe holds
	s, _ := newSiteWithPipedLog(t, 0)
	for range refusals {
		s.sendTo(context.Background(), http.DefaultClient, s.settings.CallerAddress,
			callerRequest{method: http.MethodPost, target: "/unknown/", id: "unknown", key: platformKey, body: "{}"})
	}
	begun := time.Now()
	s.entry.terminate()
	is.Equal(s.entry.exitCode(), 0)
	is.True(time.Since(begun) < stopGraceSeconds*time.Second+raceExitMillis*time.Millisecond)
}
