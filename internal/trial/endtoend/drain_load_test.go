package endtoend

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// drainCallers is the number of callers of each kind of connection around a drain.
const drainCallers = 8

// TestDrainUnderLoadAnswersEachRequest guards against a connection that an entry host closes although it
// carries a request, in the moment in which the host ends.
func TestDrainUnderLoadAnswersEachRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1})
	entry := d.entries[0]
	var group errgroup.Group
	for n := range 2 * drainCallers {
		c := newCaller(entry)
		if n%2 == 0 {
			c = newKeepingCaller(entry)
		}
		group.Go(func() error {
			defer c.client.CloseIdleConnections()
			for i := 0; ; i++ {
				r, err := c.complete(newRequest("programme", fmt.Sprintf("tokens=1 caller %d, request %d", n, i)))
				if errors.Is(err, syscall.ECONNREFUSED) {
					return nil
				}
				if err != nil || r.status != http.StatusOK && resultOfReply(r) != resultcode.Leaving {
					t.Errorf("caller %d, request %d: status %d, error %v, %s", n, i, r.status, err, r.body)
				}
				sleepMillis(t, 1+i%7)
			}
		})
	}
	sleepMillis(t, 1000)
	entry.terminate()
	is.NoErr(group.Wait())
	is.Equal(entry.exitCode(), 0)
}
