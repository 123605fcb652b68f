package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestPlatformEvacuatedZone guards against requests to an availability zone after the
// operator's order to evacuate it, and checks that the zone is used again after the order is
// taken back.
func TestPlatformEvacuatedZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 2)
	evacuated := s.plainServices[0] // it is in the zone of the entry host, which is preferred
	other := s.plainServices[1]
	s.log.Put("keyed.servers", other.ID, s.serverEntry(other, "plain", "west", "ready"))
	eventually(t, "entry host knows the other zone", func() error {
		status, err := queryStatus(s.settings.ControlAddress)
		if err != nil {
			return err
		}
		for _, host := range status.Hosts {
			if host.Zone == "west" {
				return nil
			}
		}
		return errors.New("no backend server in it")
	})
	sent := 0
	send := func(until func() bool) {
		eventually(t, "placement as ordered", func() error {
			if until() {
				return nil
			}
			sent++
			reply := s.send(context.Background(), plainRequest(fmt.Sprint("e", sent), platformKey))
			is.Equal(reply.status, http.StatusOK)
			return fmt.Errorf("after %d requests", sent)
		})
	}
	reached := func() int { return len(evacuated.Arrivals()) }
	send(func() bool { return reached() > 0 })

	s.log.Put("keyed.op", "evacuate/a", []byte("{}"))
	const quiet = 40
	last, since := reached(), sent
	send(func() bool {
		if reached() != last {
			last, since = reached(), sent
		}
		return sent-since >= quiet
	})
	s.log.Put("keyed.op", "evacuate/a", nil)
	send(func() bool { return reached() > last })
}
