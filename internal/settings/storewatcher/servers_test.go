package storewatcher

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

// TestLogOfALongList replays the start of a host of a large deployment: the whole list takes
// one log line, a change of a few servers one line for each.
func TestLogOfALongList(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	w := &Watcher{Log: slog.New(slog.NewJSONHandler(&log, nil))}
	lines := func() int {
		count := bytes.Count(log.Bytes(), []byte("\n"))
		log.Reset()
		return count
	}
	var changes []discovery.Change
	for n := range 3 * maxLoggedServers {
		changes = append(changes, discovery.Registered{Server: discovery.BackendServer{ID: fmt.Sprint("server-", n), State: discovery.Ready}})
	}
	long := discovery.List{}.With(discovery.Update{Changes: changes, ReadAt: boottime.Now()})
	w.logDifferences(discovery.List{}, long)
	is.Equal(lines(), 1)
	few := long.With(discovery.Update{
		Changes: []discovery.Change{
			discovery.Registered{Server: discovery.BackendServer{ID: "server-1", State: discovery.Draining}},
			discovery.Registered{Server: discovery.BackendServer{ID: "server-2", State: discovery.Ready}},
			discovery.Removed{ID: "server-3"},
		},
		ReadAt: boottime.Now(),
	})
	w.logDifferences(long, few)
	is.Equal(lines(), 2)
}
