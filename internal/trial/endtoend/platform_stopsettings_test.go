package endtoend

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStopBeginsWithoutTheSettingsFile guards against a stop that begins only once the settings
// file has been read again: while that read hangs, the entry host stays ready and does not drain.
func TestPlannedStopBeginsWithoutTheSettingsFile(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const graceMillis, noticeMillis = 1000, 500
	s := newAdjustedSite(t, 0, 1, withGrace(graceMillis/1000))
	s.hangSettings(t)
	begun := time.Now()
	s.entry.terminate()
	time.Sleep(noticeMillis * time.Millisecond)
	is.True(s.ready() != nil) // the platform must hear at once that the host stops
	is.Equal(s.entry.exitCode(), 0)
	is.True(s.entry.loggedAt("stopped").Sub(begun) < graceMillis*time.Millisecond)
}

// TestPlannedStopEndsDuringReload guards against a process that outlives its grace period because a
// hang-up signal before the stop made it read the settings file, and that read hangs.
func TestPlannedStopEndsDuringReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const graceMillis, readMillis = 1000, 200
	s := newAdjustedSite(t, 0, 1, withGrace(graceMillis/1000))
	s.hangSettings(t)
	s.entry.signal(syscall.SIGHUP)
	time.Sleep(readMillis * time.Millisecond)
	begun := time.Now()
	s.entry.terminate()
	is.Equal(s.entry.exitCode(), 0)
	is.True(s.entry.loggedAt("stopped").Sub(begun) < graceMillis*time.Millisecond)
}

// hangSettings makes each further read of the settings file of the entry host hang.
func (s *platformSite) hangSettings(t *testing.T) {
	t.Helper()
	is := is.New(t)
	const readWrite = 0o600
	path := filepath.Join(s.directory, "entry.json")
	is.NoErr(os.Remove(path))
	is.NoErr(syscall.Mkfifo(path, readWrite)) // it has no writer
}
