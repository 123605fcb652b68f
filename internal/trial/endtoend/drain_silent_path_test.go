package endtoend

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestBackendDrainsOnSilentPath checks that a drain waits for an entry host whose
// connection stops delivering data before the end of the answer. The entry host
// detects this after ProgressMillis (3000 ms by default), which is longer than the
// 2000 ms for which a drain waits for a client that has disconnected.
func TestBackendDrainsOnSilentPath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, relayed: true})
	answer, s := d.openStream(t, d.entries[0], prompts(1, 60)[0])
	defer s.close()
	b := d.backends[0]
	b.relay.silence(toEntry)
	b.terminate()
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
	is.Equal(b.exitCode(), 0)
}

// TestPlainBackendDrainsOnSilentPath checks that a drain waits for the entry host
// of a plain call whose connection stops delivering data before the answer.
func TestPlainBackendDrainsOnSilentPath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 1, relayed: true})
	d.waitKeyBinding(t)
	b := d.backends[1]
	b.plainService.Faults.SlowMillis.Store(shortProgressMillis / 2)
	var booking reply
	var group errgroup.Group
	group.Go(func() (err error) {
		booking, err = newCaller(d.entries[0]).call(http.MethodPost, "/bookings", newKey())
		return err
	})
	d.calledPlainService(t)
	b.relay.silence(toEntry)
	b.terminate()
	is.NoErr(group.Wait())
	is.Equal(booking.status, http.StatusOK)
	is.Equal(b.plainService.Bookings(), 1)
	is.Equal(b.exitCode(), 0)
}
