// Package directentry runs an entry host that speaks to backend servers
// without a process between them.
package directentry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/watch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// memoryLimitShare is the share of the memory limit from which on the runtime
	// collects garbage more often.
	memoryLimitShare = 0.7
	// readyShare is the share of the time for which a configuration vouches for
	// keys in which the process counts as ready, so that callers are sent
	// elsewhere before it must refuse them.
	readyShare = 0.6
	// idleConnectionMillis is how long a process that stops keeps connections that wait
	// for a request, until the platform sends it no more.
	idleConnectionMillis = 2600
	// shutdownReserveMillis is kept free at the end of the grace period.
	shutdownReserveMillis = 300

	millisPerSecond = 1000
)

// Host is the process of one entry host. Its fields are set before Run.
type Host struct {
	Settings process.DirectEntry
	// SettingsPath is the file that is read again on request.
	SettingsPath string
	Log          *slog.Logger

	storeWatcher *storewatcher.Watcher
	cache        *storecache.Cache
	loadTable    *placement.LoadTable
	server       *httpserver.Server
	watch        *watch.Watch
	metrics      *metrics.Registry
	// bounds may change when the settings are read again.
	bounds atomic.Pointer[relay.Bounds]
	// shutdownAt is the moment at which a process that was told to stop ends; zero
	// before.
	shutdownAt atomic.Int64
}

// Run serves until the lifecycle's drain has ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(h.Settings.MemoryMegabytes) * (1 << 20)))
	callers, err := transport.Listen(life.Abort, h.Settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := transport.Listen(life.Abort, h.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	metricsListener, err := transport.Listen(life.Abort, h.Settings.MetricsAddress())
	if err != nil {
		return err
	}
	var control net.Listener
	if h.Settings.ControlAddress != "" {
		if control, err = transport.ListenPeers(life.Abort, h.Settings.ControlAddress); err != nil {
			return err
		}
	}
	h.prepare(callers)
	h.Log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress)
	ctx, end := context.WithCancel(life.Abort)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.storeWatcher.Run(ctx) })
	group.Go(func() error { return h.serveControl(ctx, control) })
	group.Go(func() error { return h.server.Run(ctx) })
	group.Go(func() error { return h.watch.Run(ctx) })
	group.Go(func() error { return h.metrics.Run(ctx) })
	group.Go(func() error {
		return transport.HTTPServer{Listener: metricsListener, Handler: h.metrics.Handler()}.Run(ctx)
	})
	group.Go(func() error { return transport.HTTPServer{Listener: ready, Handler: h.readinessHandler()}.Run(ctx) })
	group.Go(func() error { return life.Reload.Run(ctx, h.reload) })
	group.Go(func() error {
		defer end()
		return h.awaitShutdown(life)
	})
	err = group.Wait()
	h.Log.Info("stopped", "Name", h.Settings.Name, "Open", h.server.Open())
	return err
}

// prepare builds the parts.
func (h *Host) prepare(callers net.Listener) {
	h.setBounds(h.Settings)
	h.cache = &storecache.Cache{}
	h.storeWatcher = &storewatcher.Watcher{
		Store:   &platform.Store{Address: h.Settings.StoreAddress, HTTP: platform.NewStoreHTTP()},
		Readers: h.readers(),
		Cache:   h.cache,
		Log:     h.Log,
	}
	h.metrics = &metrics.Registry{}
	h.loadTable = &placement.LoadTable{Zone: h.Settings.Zone, Policy: placementPolicy(h.Settings.Placing)}
	moves := &relay.Migrations{}
	h.watch = &watch.Watch{
		StoreWatcher: h.storeWatcher,
		LoadTable:    h.loadTable,
		Migrations:   moves,
		Log:          h.Log,
		PeerPort:     h.Settings.PeerPort,
	}
	h.server = &httpserver.Server{
		Listener: callers,
		Log:      h.Log,
		Limits:   h.limits,
		Handler: &relay.Relay{
			StoreWatcher: h.storeWatcher,
			LoadTable:    h.loadTable,
			Migrations:   moves,
			Retries:      h.retries(),
			OnPlaced:     h.watch.NotifyPlaced,
			Metrics:      h.metrics,
			Log:          h.Log,
			Bounds:       func() relay.Bounds { return *h.bounds.Load() },
			ShutdownAt:   func() boottime.Instant { return boottime.Instant(h.shutdownAt.Load()) },
		},
	}
}

// placementPolicy returns how servers are chosen.
func placementPolicy(name string) placement.Policy {
	switch name {
	case process.PlacingRoundRobin:
		return placement.RoundRobin{}
	case process.PlacingLeastOutstanding:
		return placement.LeastOutstanding{}
	default:
		return placement.ByForecast{}
	}
}

// readers returns the entry hosts that read the store for this one; none when
// it is one of them.
func (h *Host) readers() []string {
	if slices.Contains(h.Settings.Readers, h.Settings.ControlAddress) {
		return nil
	}
	return h.Settings.Readers
}

// serveControl serves other entry hosts.
func (h *Host) serveControl(ctx context.Context, listener net.Listener) error {
	if listener == nil {
		return nil
	}
	handler := drpcmux.New()
	if err := digest.DRPCRegisterDigest(handler, h.cache); err != nil {
		return err
	}
	if err := message.DRPCRegisterPeer(handler, &peer.StatusOnly{State: h.status}); err != nil {
		return err
	}
	server := &transport.Server{Listener: listener, Handler: handler}
	return server.Run(ctx)
}

// setBounds takes over the bounds of settings.
func (h *Host) setBounds(s process.DirectEntry) {
	h.bounds.Store(&relay.Bounds{RevokeMillis: s.RevokeMillis, ApplyMillis: s.ApplyMillis})
}

// reload reads the settings again. Addresses and limits of the host stay as
// they were at the start; the bounds change.
func (h *Host) reload() {
	settings, err := process.LoadDirectEntry(h.SettingsPath)
	if err != nil {
		h.Log.Error("settings not read again", "Path", h.SettingsPath, "Error", err)
		return
	}
	h.setBounds(settings)
	h.Log.Info("settings read again", "Path", h.SettingsPath,
		"RevokeMillis", settings.RevokeMillis, "ApplyMillis", settings.ApplyMillis)
}

// retries returns the budget for sending requests once more.
func (h *Host) retries() *relay.Retries {
	return &relay.Retries{
		Ratio:        h.Settings.RetryRatio,
		Slack:        h.Settings.RetrySlack,
		Hosts:        h.loadTable.EntryHosts,
		WindowMillis: int64(h.Settings.RetryWindowSeconds * millisPerSecond),
	}
}

func (h *Host) limits() routetable.Limits {
	if table := h.storeWatcher.Configuration().RouteTable; table != nil {
		return table.Limits
	}
	return routetable.Limits{}
}

// readinessHandler answers the platform's question whether to send new connections.
func (h *Host) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// ready reports whether the process can serve requests with a key.
func (h *Host) ready() bool {
	if h.shutdownAt.Load() != 0 {
		return false
	}
	known := h.storeWatcher.Configuration()
	if known.RouteTable == nil || h.storeWatcher.Servers().ConfirmedAt == 0 {
		return false
	}
	readyMillis := int64(readyShare * float64(h.bounds.Load().RevokeMillis))
	return boottime.Now().MillisSince(known.ConfirmedAt) < readyMillis
}

// awaitShutdown waits for the signal to stop, lets the platform notice, and lets
// open requests end within the grace period.
func (h *Host) awaitShutdown(life lifecycle.Lifecycle) error {
	select {
	case <-life.Drain.Done():
	case <-life.Abort.Done():
		return nil
	}
	graceMillis := int64(h.Settings.GraceSeconds*millisPerSecond) - shutdownReserveMillis
	deadline := time.Now().Add(time.Duration(graceMillis) * time.Millisecond)
	h.shutdownAt.Store(int64(boottime.Now().AddMillis(graceMillis)))
	h.server.CloseAfterAnswers()
	h.Log.Info("stopping", "Open", h.server.Open(), "Deadline", deadline)
	accept := time.NewTimer(idleConnectionMillis * time.Millisecond)
	defer accept.Stop()
	select {
	case <-accept.C:
	case <-life.Abort.Done():
	}
	h.server.CloseIdle()
	left := life.AwaitIdle(h.server.Open, deadline)
	if left > 0 {
		h.Log.Warn("requests cut at the end of the grace period", "Open", left)
	}
	return nil
}
