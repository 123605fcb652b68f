package endtoend

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
)

// TestPlatformStatus checks that the status of an entry host and of the monitor of an
// engine shows the cached state of each and its age. The field Beliefs has one entry for
// each part of that state.
func TestPlatformStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 1)
	entry := s.settings.ControlAddress
	const freshMillis = 1500
	eventually(t, "entry host knows the engine's load", func() error {
		status, err := queryStatus(entry)
		if err != nil {
			return err
		}
		for _, host := range status.Hosts {
			if host.Name == s.engines[0].ID && host.AgeMillis >= 0 {
				return nil
			}
		}
		return errors.Newf("no load of %s in the status", s.engines[0].ID)
	})
	status, err := queryStatus(entry)
	is.NoErr(err)
	is.Equal(status.ConfigVersion, uint64(s.version))
	is.Equal(len(status.Hosts), 2)
	is.Equal(len(status.Beliefs), 2)
	for _, cached := range status.Beliefs {
		is.True(cached.AgeMillis >= 0 && cached.AgeMillis < freshMillis)
	}

	host, _, err := net.SplitHostPort(s.engines[0].Addr())
	is.NoErr(err)
	monitor, err := queryStatus(net.JoinHostPort(host, strconv.Itoa(platformPeerPort)))
	is.NoErr(err)
	is.Equal(monitor.Name, s.engines[0].ID)
	is.True(monitor.Beliefs[0].AgeMillis < freshMillis)
	is.Equal(monitor.Beliefs[1].Entries, 1) // the entry host subscribes to load reports

	s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(2 * freshMillis * time.Millisecond)
	status, err = queryStatus(entry)
	is.NoErr(err)
	is.True(status.Beliefs[0].AgeMillis > freshMillis) // the age grows during the outage

	answer, err := http.Get("http://" + net.JoinHostPort(host, strconv.Itoa(platformPeerPort+1)) + "/metrics") //nolint:noctx // a test
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	var published struct{ Fulmarvalve metrics.Snapshot }
	is.NoErr(json.NewDecoder(answer.Body).Decode(&published))
	is.True(published.Fulmarvalve.Moves != nil)
}
