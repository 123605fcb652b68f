package endtoend

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestDrainDoesNotAwaitItsLogReader guards against an entry host that hangs in the middle of its requests, and
// never ends its drain, because the reader of its log stands still.
func TestDrainDoesNotAwaitItsLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pipeBytes, calls, mostMillis = 4096, 300, 5000
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 1})
	d.waitKeyBinding(t)
	e := d.entries[0]
	e.kill()
	log := e.startPiped()
	_, err := unix.FcntlInt(log.Fd(), unix.F_SETPIPE_SZ, pipeBytes)
	is.NoErr(err)
	d.waitKeyBinding(t)
	for range calls {
		_, err = newCaller(e).call(http.MethodPost, "/bookings", newKey())
		is.NoErr(err)
	}
	begun := time.Now()
	e.terminate()
	is.Equal(e.exitCode(), 0)
	is.True(time.Since(begun) < mostMillis*time.Millisecond)
}
