package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/enginereport"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// newEndedAnswer returns a request whose answer from the server at an address has ended with its connection.
func newEndedAnswer(service routetable.Service, address string) (*request, *attempt) {
	migrations := &Migrations{}
	q := &request{
		relay: &Relay{
			StoreWatcher: &storewatcher.Watcher{}, LoadTable: &placement.LoadTable{}, Migrations: migrations,
			Metrics: &metrics.Registry{}, Log: slog.New(slog.DiscardHandler),
			AskEnded:            func(discovery.BackendServer, string, uint64) bool { return true },
			AskEngine:           (&enginereport.Client{Engines: &platform.Engines{HTTP: platform.NewOrderHTTP()}}).Ask,
			MonitorSilentMillis: func(discovery.BackendServer) int64 { return -1 },
		},
		service: service,
		caller:  platform.CallerRequest{ID: "r"},
	}
	return q, &attempt{
		server: discovery.BackendServer{ID: "e", Address: address},
		call:   &Call{Answer: &http.Response{ContentLength: -1}, run: migrations.Register("r").Begin(address)},
	}
}

// TestReportsOfAnEngineWithoutAMonitor guards against a report from before the end that decides: the state
// in it may be old, and its query may be another request's. It also guards against more queries than needed,
// which have a price.
func TestReportsOfAnEngineWithoutAMonitor(t *testing.T) {
	engine := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(engine.Close)
	for name, tt := range map[string]struct {
		report platform.EngineReport
		// sharedMillis is the age of the query whose report the first question gets.
		sharedMillis int64
		verdict      string
		asked        int
	}{
		"ready":                      {platform.EngineReport{Ready: true}, 0, "Whole", 1},
		"ready, by an earlier query": {platform.EngineReport{Ready: true}, 200, "Whole", 2},
		"leaving":                    {platform.EngineReport{Leaving: true}, 0, "Unknown", 1},
		"does not say":               {platform.EngineReport{}, 0, "Unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			q, a := newEndedAnswer(rigEngine, engine.Listener.Addr().String())
			asked, endedAt := 0, boottime.Now()
			q.relay.AskEngine = func(context.Context, string) (enginereport.Report, error) {
				asked++
				is.True(boottime.Now().MillisSince(endedAt) >= platform.ReportLagMillis)
				askedAt := boottime.Now()
				if asked == 1 {
					askedAt = askedAt.AddMillis(-tt.sharedMillis)
				}
				return enginereport.Report{EngineReport: tt.report, AskedAt: askedAt}, nil
			}
			err := q.checkEnd(t.Context(), a)
			is.Equal(err == nil, tt.verdict == answerend.Whole.String())
			is.Equal(q.relay.Metrics.Snapshot().AnswerEnds, map[string]int64{tt.verdict: 1})
			is.Equal(asked, tt.asked)
		})
	}
}

// TestPlainAnswerOfASilentServer guards against an answer that passes for complete although its server, which
// may have ended, can't be reached any more, and against one that is lost as a single attempt to reach its
// server failed.
func TestPlainAnswerOfASilentServer(t *testing.T) {
	for name, tt := range map[string]struct {
		// heals says that the server can be reached again a moment later.
		heals    bool
		complete bool
	}{
		"silent for good": {false, false},
		"silent at first": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := newFullListener(t)
			if tt.heals {
				const healMillis = 300
				timer := time.AfterFunc(healMillis*time.Millisecond, server.accept)
				t.Cleanup(func() { timer.Stop() })
			}
			q, a := newEndedAnswer(routetable.Service{Name: "plain"}, server.address)
			is.Equal(q.checkEnd(t.Context(), a) == nil, tt.complete)
		})
	}
}

// fullListener is a listener whose queue of connections is full, so that the system drops attempts.
type fullListener struct {
	descriptor int
	address    string
}

func newFullListener(t *testing.T) *fullListener {
	t.Helper()
	is := is.New(t)
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	is.NoErr(syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	is.NoErr(err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	conn, err := net.DialTCP("tcp", nil, address) // fills the queue
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return &fullListener{descriptor: descriptor, address: address.String()}
}

// accept takes the connection in the queue, so that there is room for further ones.
func (l *fullListener) accept() {
	if conn, _, err := syscall.Accept(l.descriptor); err == nil {
		_ = syscall.Close(conn)
	}
}
