package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// usualMillis is the answer time that the rig's relay has learnt, so that hedges are sent
	// after it.
	usualMillis = 100
	rigServers  = 3
	safePath    = "/look/"
	unsafePath  = "/book/"
	// streamPath and resumablePath lead to streams.
	streamPath    = "/draft/"
	resumablePath = "/check/"
)

// hedgeRig is a relay that has learnt the answer times of its routes, with callers and with plain
// servers that behave as each test says.
type hedgeRig struct {
	t       *testing.T
	relay   *Relay
	address string
	log     lockedBuffer
	servers []*httptest.Server

	mu sync.Mutex
	// behave answers the nth arrival of a request, counted from one.
	behave func(nth int, w http.ResponseWriter, r *http.Request)
	// arrivals counts the arrivals of each request by its ID.
	arrivals map[string]int
	// closed receives the time at which an arrival without an answer lost its connection.
	closed chan time.Time
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

func newHedgeRig(t *testing.T, behave func(nth int, w http.ResponseWriter, r *http.Request)) *hedgeRig {
	t.Helper()
	g := &hedgeRig{t: t, behave: behave, arrivals: make(map[string]int), closed: make(chan time.Time, 64)}
	log := &keyedlog.Log{}
	store := httptest.NewServer(log.Routes())
	t.Cleanup(store.Close)
	for n := range rigServers {
		server := httptest.NewServer(http.HandlerFunc(g.serve))
		t.Cleanup(server.Close)
		g.servers = append(g.servers, server)
		log.Put("keyed.servers", fmt.Sprintf("desk-%d", n), fmt.Appendf(nil,
			`{"service":"plain","address":%q,"zone":"a","slots":6,"state":"ready","seq":1,"born":1}`, server.Listener.Addr()))
	}
	log.Put("keyed.op", "config", []byte(rigConfiguration()))
	g.start(strings.TrimPrefix(store.URL, "http://"))
	return g
}

func rigConfiguration() string {
	route := func(path, kind string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","path_prefix":%q,"kind":%q,"timeout_ms":8000,"slo_ms":100,`+
			`"priority":0,"service":"plain","max_attempts":%d,"resumable":%t,"public":true}`, path, path, kind, attempts, resumable)
	}
	routes := strings.Join([]string{
		route(safePath, "safe", 2, false), route(unsafePath, "unsafe", 1, false),
		route(streamPath, "streaming", 1, false), route(resumablePath, "streaming", 2, true),
	}, ",")
	return `{"version":1,"routes":[` + routes + `],"services":[{"name":"plain"}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`
}

// start starts the relay and waits until it knows its servers.
func (g *hedgeRig) start(storeAddress string) {
	logger := slog.New(slog.NewJSONHandler(&g.log, nil))
	store := &platform.Store{Address: storeAddress, HTTP: platform.NewStoreHTTP()}
	table := &quarantine.Table{Host: 1}
	watcher := &storewatcher.Watcher{Store: store, Cache: &storecache.Cache{AppendRecords: store.Append}, Log: logger}
	loadTable := &placement.LoadTable{Zone: "a"}
	g.relay = &Relay{
		StoreWatcher: watcher,
		LoadTable:    loadTable,
		Migrations:   &Migrations{},
		Memory:       &heldbytes.Budget{MostBytes: 16 << 20},
		Retries:      &Retries{Ratio: 0.2, Slack: 50, Hosts: func() int { return 1 }, WindowMillis: 10_000},
		Hedges:       &hedge.Table{Ratio: 0.2},
		Outputs:      &outputestimate.Model{},
		ServerLimits: &loadTable.ServerLimits,
		Quarantine:   table,
		Crashes:      &crashlog.Log{Store: store, Table: table, Log: logger},
		Ends:         &serverend.Watch{},
		OnPlaced:     func(string, string, placement.Generation) {},
		OnLeaving:    func() {},
		Bounds:       func() Bounds { return Bounds{RevokeMillis: 60_000, ApplyMillis: 60_000} },
		Stop:         func() Stop { return Stop{} },
		Metrics:      &metrics.Registry{},
		Log:          logger,
	}
	learn(g.relay.Hedges, safePath, unsafePath)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.address = listener.Addr().String()
	server := &httpserver.Server{Listener: &transport.StoppingListener{Listener: listener}, Log: logger, Handler: g.relay, Limits: func() routetable.Limits { return routetable.Limits{} }}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return watcher.Run(ctx) })
	group.Go(func() error { return server.Run(ctx) })
	g.t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	g.eventually("servers known", func() bool {
		return watcher.Configuration().RouteTable != nil && len(watcher.Ready("plain", boottime.Now())) == rigServers
	})
}

// learn gives a table the answer times of routes.
func learn(table *hedge.Table, routes ...string) {
	const answers = 100
	start := boottime.Now().AddMillis(-3000)
	var calls []*hedge.Call
	for _, route := range routes {
		for range answers {
			calls = append(calls, table.Begin(route, start))
		}
	}
	for _, call := range calls {
		call.End(hedge.Answered, start.AddMillis(usualMillis))
	}
}

// serve counts an arrival and answers it.
func (g *hedgeRig) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fulmarvalve-Request-Id")
	g.mu.Lock()
	g.arrivals[id]++
	nth := g.arrivals[id]
	g.mu.Unlock()
	w.Header().Set("Fulmarvalve-Request-Id", id)
	g.behave(nth, w, r)
}

// hang waits until the connection of an arrival is closed.
func (g *hedgeRig) hang(r *http.Request) {
	<-r.Context().Done()
	g.closed <- time.Now()
}

// answer sends a signed answer that names its request and the arrival.
func answer(nth int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Fulmarvalve-Response-Signature", "s")
	w.Header().Set("Arrival", fmt.Sprint(nth))
	_, _ = fmt.Fprintf(w, "%s/%d", r.Header.Get("Fulmarvalve-Request-Id"), nth)
}

// breakOff closes the connection of an arrival without an answer.
func breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// reply is what a caller got.
type reply struct {
	status  int
	arrival string
	body    string
	err     error
}

func (g *hedgeRig) send(ctx context.Context, path, id string) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.address+path, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	request.Host = "desk.example"
	request.Header.Set("Fulmarvalve-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("Arrival"), string(body), err}
}

func (g *hedgeRig) arrivalsOf(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrivals[id]
}

// outcomes returns the number of hedged requests by outcome.
func (g *hedgeRig) outcomes() map[string]int64 {
	counts := make(map[string]int64)
	for outcome, times := range g.relay.Metrics.Snapshot().Hedges {
		counts[outcome] = times.Total
	}
	return counts
}

func (g *hedgeRig) eventually(what string, done func() bool) {
	g.t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	g.t.Fatalf("never came: %s", what)
}

// checkIdle checks that the requests of a test have left nothing behind: no memory of answers and
// no open request at a server.
func (g *hedgeRig) checkIdle() {
	g.t.Helper()
	g.eventually("memory of answers free", func() bool { return g.relay.Memory.UsedBytes() == 0 })
	for _, server := range g.relay.StoreWatcher.Ready("plain", boottime.Now()) {
		g.checkServerIdle(server)
	}
}

func (g *hedgeRig) checkServerIdle(server discovery.BackendServer) {
	g.t.Helper()
	g.eventually("no open assignment at "+server.ID, func() bool {
		return g.relay.LoadTable.Candidate(server, routetable.Service{Name: "plain"}, boottime.Now()).Open == 0
	})
}
