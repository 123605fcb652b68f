package endtoend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMovesAreHeardAfterAPause guards against streams that are lost as their runs are moved while the
// entry host stands still for so long that it opens its connection to the monitor anew: the move was
// announced on the old one.
func TestMovesAreHeardAfterAPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events, noticeMillis, pauseMillis = 200, 1500, 3300
	s := newPlatformSite(t, 2, 0)
	s.startAdviser()
	await := s.sendInBackground(streamRequest("moved", events))
	e := s.activeEngine()
	s.entry.freeze()
	e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
	time.Sleep(pauseMillis * time.Millisecond)
	is.Equal(e.Running(), 0)
	s.entry.thaw()
	await().checkWhole(t, events)
	started, _ := s.countRuns()
	is.Equal(started, 1)
}

// startAdviser starts a second entry host and waits until it is ready.
func (s *platformSite) startAdviser() {
	s.t.Helper()
	settings := s.entrySettings("adviser")
	settings.MetricsPort++
	newProgram(s.t, settings.Name, "direct-entry", s.write(settings.Name, settings)).start()
	eventually(s.t, "adviser ready", func() error { return readyAt(settings.ReadyAddress) })
}
