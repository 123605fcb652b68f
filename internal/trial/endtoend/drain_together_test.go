package endtoend

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// TestDrainTogetherAnswersEachRequest guards against requests that end without an answer, or as ones that
// may have run, as entry hosts and processes beside backend servers are signalled at the same time.
func TestDrainTogetherAnswersEachRequest(t *testing.T) {
	t.Parallel()
	for name, drainSeconds := range map[string]int{"no deadline": 0, "deadline": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const loadMillis, callMillis = 1000, 150
			d := newDeployment(t, layout{
				entries: 2, engines: 1, plainServices: 2,
				changeEntry:   func(s *process.Entry) { s.DrainSeconds = drainSeconds },
				changeBackend: func(s *process.Backend) { s.DrainSeconds = drainSeconds },
			})
			d.waitKeyBinding(t)
			for _, b := range d.backends[1:] {
				b.plainService.Faults.SlowMillis.Store(callMillis)
			}
			var group errgroup.Group
			outcomes := outcomeCounts{counts: make(map[string]int)}
			for n := range drainCallers {
				c := newCaller(d.entries[n%2])
				if n%4 < 2 {
					c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				}
				send := []func() (reply, error){
					func() (reply, error) { return c.call(http.MethodPost, "/bookings", newKey()) },
					func() (reply, error) { return c.call(http.MethodGet, "/tides", "") },
					func() (reply, error) { return c.complete(nonIdempotentRequest(newKey(), "tokens=20 together")) },
					func() (reply, error) { return c.complete(newRequest("programme", "tokens=20 together")) },
				}
				group.Go(func() error {
					defer c.client.CloseIdleConnections()
					for i := n; ; i++ {
						r, err := send[i%len(send)]()
						if errors.Is(err, syscall.ECONNREFUSED) {
							return nil
						}
						outcomes.add(resultOfReply(r).String())
						mayBeCut := drainSeconds > 0 && resultOfReply(r) == resultcode.DrainCut
						if err != nil || r.status != http.StatusOK && r.status != http.StatusServiceUnavailable && !mayBeCut {
							t.Errorf("caller %d, request %d: status %d, error %v, %s", n, i, r.status, err, r.body)
						}
						sleepMillis(t, 1+i%5)
					}
				})
			}
			time.Sleep(loadMillis * time.Millisecond)
			for _, b := range d.backends {
				b.terminate()
			}
			for _, e := range d.entries {
				e.terminate()
			}
			is.NoErr(group.Wait())
			for _, b := range d.backends {
				is.Equal(b.exitCode(), 0)
			}
			for _, e := range d.entries {
				is.Equal(e.exitCode(), 0)
			}
			t.Log(outcomes.counts)
		})
	}
}

// outcomeCounts counts results by name.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomeCounts) add(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[name]++
}
