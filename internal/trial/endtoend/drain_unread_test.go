package endtoend

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// TestDrainEndRefusesUnreadCalls guards against calls that a process beside a backend server has not read
// when its drain ends, and whose connections it closes: their keys are spent, although nothing has run.
func TestDrainEndRefusesUnreadCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newStandstillDeployment(t)
	r, err := newCaller(d.entries[0]).call(http.MethodGet, "/tides", "")
	is.NoErr(err)
	is.Equal(r.status, http.StatusOK)
	is.NoErr(d.bookAroundStandstill(t, d.calledPlainService(t)))
}

// TestLeavingBackendIsBoundToNoKey guards against a key that is bound to a process beside a backend server
// whose first reply to the entry host says that it leaves: it ends before the call reaches it.
func TestLeavingBackendIsBoundToNoKey(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newStandstillDeployment(t)
	is.NoErr(d.bookAroundStandstill(t, d.backends[1]))
}

// newStandstillDeployment returns a deployment with two plain services beside processes whose drain is over
// within a standstill.
func newStandstillDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, layout{
		entries: 1, engines: 1, plainServices: 2,
		changeEntry:   func(s *process.Entry) { s.ProgressMillis = 10000 },
		changeBackend: func(s *process.Backend) { s.DrainSeconds = 1 },
	})
	d.waitKeyBinding(t)
	return d
}

// bookAroundStandstill stops a process beside a plain service that stands still as its signal comes, and
// sends calls meanwhile. Each must be answered by its only run, at the other service if it was not read. The
// end of the drain may cut calls that were read in time.
func (d *deployment) bookAroundStandstill(t *testing.T, stopped *backendServer) error {
	t.Helper()
	const calls, standstillMillis = 24, 1500
	bookings := func() int { return d.backends[1].plainService.Bookings() + d.backends[2].plainService.Bookings() }
	before := bookings()
	stopped.freeze()
	stopped.terminate()
	var answered, cut atomic.Int64
	var group errgroup.Group
	for n := range calls {
		group.Go(func() error {
			r, err := newCaller(d.entries[0]).call(http.MethodPost, "/bookings", newKey())
			switch {
			case err == nil && r.status == http.StatusOK:
				answered.Add(1)
			case err == nil && resultOfReply(r) == resultcode.DrainCut:
				cut.Add(1)
			default:
				t.Errorf("booking %d: status %d, error %v, %s", n, r.status, err, r.body)
			}
			return nil
		})
	}
	time.Sleep(standstillMillis * time.Millisecond)
	stopped.thaw()
	if err := group.Wait(); err != nil {
		return err
	}
	if code := stopped.exitCode(); code != 0 {
		return errors.Newf("exit code %d", code)
	}
	if booked := int64(bookings() - before); booked < answered.Load() || booked > answered.Load()+cut.Load() {
		return errors.Newf("%d bookings, %d calls answered and %d cut", booked, answered.Load(), cut.Load())
	}
	return nil
}
