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

// The status of both roles tells what each believes and how old that is.
func TestPlatformStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 1)
	entry := s.settings.ControlAddress
	const freshMillis = 1500
	eventually(t, "load of the engine", func() error {
		status, err := queryStatus(entry)
		if err != nil {
			return err
		}
		for _, host := range status.Hosts {
			if host.Name == s.engines[0].ID && host.AgeMillis >= 0 {
				return nil
			}
		}
		return errors.New("no load is known yet")
	})
	status, err := queryStatus(entry)
	is.NoErr(err)
	is.Equal(status.ConfigVersion, uint64(s.version))
	is.Equal(len(status.Hosts), 2)
	is.Equal(len(status.Beliefs), 2)
	for _, belief := range status.Beliefs {
		is.True(belief.AgeMillis >= 0 && belief.AgeMillis < freshMillis)
	}

	host, _, err := net.SplitHostPort(s.engines[0].Addr())
	is.NoErr(err)
	beside, err := queryStatus(net.JoinHostPort(host, strconv.Itoa(platformPeerPort)))
	is.NoErr(err)
	is.Equal(beside.Name, s.engines[0].ID)
	is.True(beside.Beliefs[0].AgeMillis < freshMillis)
	is.Equal(beside.Beliefs[1].Entries, 1) // the entry host watches

	s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(2 * freshMillis * time.Millisecond)
	status, err = queryStatus(entry)
	is.NoErr(err)
	is.True(status.Beliefs[0].AgeMillis > freshMillis) // the outage shows as age

	answer, err := http.Get("http://" + net.JoinHostPort(host, strconv.Itoa(platformPeerPort+1)) + "/metrics") //nolint:noctx // a test
	is.NoErr(err)
	defer func() { _ = answer.Body.Close() }()
	var figures struct{ Fulmarvalve metrics.Snapshot }
	is.NoErr(json.NewDecoder(answer.Body).Decode(&figures))
	is.True(figures.Fulmarvalve.Moves != nil)
}
