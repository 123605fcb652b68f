package endtoend

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// TestBackendDrainEndReportsResults guards against entry hosts that learn nothing of the requests that a
// process beside a backend server cuts when its drain ends.
func TestBackendDrainEndReportsResults(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d, requests, group := openAtDrainEnd(t, layout{
				entries: 1, engines: 1, plainServices: 1,
				changeBackend: backendDrainSeconds(tt.drainSeconds),
			})
			d.waitGenerations(t, 2)
			for _, b := range d.backends {
				tt.stop(t, b)
			}
			checkDrainCut(t, group, requests...)
			for _, b := range d.backends {
				is.Equal(b.exitCode(), 0)
			}
		})
	}
}

// TestBackendDrainEndReleasesWaiting guards against requests that wait in the queue of a backend server
// whose drain ends, and that end as if they might have run.
func TestBackendDrainEndReleasesWaiting(t *testing.T) {
	t.Parallel()
	for _, tt := range drainEnds {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, layout{entries: 1, engines: 1, changeBackend: func(s *process.Backend) {
				s.DrainSeconds = tt.drainSeconds
				s.MaxRunning = 1
			}})
			d.waitKeyBinding(t)
			requests := wholeRequests()[:2]
			first, waiting := requests[:1], requests[1:]
			firstGroup := openAtBackends(t, d, first)
			d.waitGenerations(t, 1)
			waitingGroup := openAtBackends(t, d, waiting)
			eventually(t, "a request waits", func() error {
				if open, err := d.openRequests(); err != nil || open[d.backends[0]] < 2 {
					return errors.Newf("open requests: %v, %v", open, err)
				}
				return nil
			})
			tt.stop(t, d.backends[0])
			checkDrainCut(t, firstGroup, first...)
			is.NoErr(waitingGroup.Wait())
			waiting[0].check(t, http.StatusServiceUnavailable, resultcode.Leaving)
			is.Equal(d.backends[0].exitCode(), 0)
		})
	}
}

// TestIdleBackendDrainKeepsKeys guards against a call whose key is bound to a backend server that leaves
// and ends before the call arrives, so that the key is spent although nothing has run.
func TestIdleBackendDrainKeepsKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const callers, logMillis = 12, 200
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 2})
	d.waitKeyBinding(t)
	d.site.Journal.Faults.SlowMillis.Store(logMillis)
	var group errgroup.Group
	for n := range callers {
		group.Go(func() error {
			r, err := newCaller(d.entries[0]).call(http.MethodPost, "/bookings", newKey())
			if err != nil || r.status != http.StatusOK {
				t.Errorf("booking %d: status %d, error %v, %s", n, r.status, err, r.body)
			}
			return nil
		})
	}
	sleepMillis(t, logMillis/2)
	draining := d.backends[1]
	draining.terminate()
	is.NoErr(group.Wait())
	is.Equal(draining.exitCode(), 0)
	is.Equal(d.backends[1].plainService.Bookings()+d.backends[2].plainService.Bookings(), callers)
}
