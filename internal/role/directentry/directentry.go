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
	// memoryShare is the share of the memory limit from which on the runtime
	// collects garbage more often.
	memoryShare = 0.7
	// readyShare is the share of the time for which a configuration vouches for
	// keys in which the process counts as ready, so that callers are sent
	// elsewhere before it must refuse them.
	readyShare = 0.6
	// acceptMillis is how long a process that stops keeps connections that wait
	// for a request, until the platform sends it no more.
	acceptMillis = 2600
	// lastMillis is kept free at the end of the grace period.
	lastMillis = 300

	millisPerSecond = 1000
)

// Host is the process of one entry host. Its fields are set before Run.
type Host struct {
	Settings process.DirectEntry
	// SettingsPath is the file that is read again on request.
	SettingsPath string
	Log          *slog.Logger

	courier *storewatcher.Watcher
	mirror  *storecache.Cache
	ledger  *placement.LoadTable
	server  *httpserver.Server
	watch   *watch.Watch
	measure *metrics.Registry
	// bounds may change when the settings are read again.
	bounds atomic.Pointer[relay.Bounds]
	// endsAt is the moment at which a process that was told to stop ends; zero
	// before.
	endsAt atomic.Int64
}

// Run serves until the lifecycle's drain has ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(h.Settings.MemoryMegabytes) * (1 << 20)))
	callers, err := transport.Listen(life.Cut, h.Settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := transport.Listen(life.Cut, h.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	metricsListener, err := transport.Listen(life.Cut, h.Settings.MetricsAddress())
	if err != nil {
		return err
	}
	var control net.Listener
	if h.Settings.ControlAddress != "" {
		if control, err = transport.ListenPeers(life.Cut, h.Settings.ControlAddress); err != nil {
			return err
		}
	}
	h.prepare(callers)
	h.Log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress)
	ctx, end := context.WithCancel(life.Cut)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.courier.Run(ctx) })
	group.Go(func() error { return h.serveControl(ctx, control) })
	group.Go(func() error { return h.server.Run(ctx) })
	group.Go(func() error { return h.watch.Run(ctx) })
	group.Go(func() error { return h.measure.Run(ctx) })
	group.Go(func() error {
		return transport.HTTPServer{Listener: metricsListener, Handler: h.measure.Handler()}.Run(ctx)
	})
	group.Go(func() error { return transport.HTTPServer{Listener: ready, Handler: h.readiness()}.Run(ctx) })
	group.Go(func() error { return life.Reload.Run(ctx, h.reload) })
	group.Go(func() error {
		defer end()
		return h.awaitEnd(life)
	})
	err = group.Wait()
	h.Log.Info("stopped", "Name", h.Settings.Name, "Open", h.server.Open())
	return err
}

// prepare builds the parts.
func (h *Host) prepare(callers net.Listener) {
	h.setBounds(h.Settings)
	h.mirror = &storecache.Cache{}
	h.courier = &storewatcher.Watcher{
		Store:   &platform.Store{Address: h.Settings.StoreAddress, HTTP: platform.NewStoreHTTP()},
		Readers: h.readers(),
		Cache:   h.mirror,
		Log:     h.Log,
	}
	h.measure = &metrics.Registry{}
	h.ledger = &placement.LoadTable{Zone: h.Settings.Zone, Policy: placingOf(h.Settings.Placing)}
	moves := &relay.Migrations{}
	h.watch = &watch.Watch{
		StoreWatcher: h.courier,
		LoadTable:    h.ledger,
		Migrations:   moves,
		Log:          h.Log,
		PeerPort:     h.Settings.PeerPort,
	}
	h.server = &httpserver.Server{
		Listener: callers,
		Log:      h.Log,
		Limits:   h.limits,
		Handler: &relay.Relay{
			StoreWatcher: h.courier,
			LoadTable:    h.ledger,
			Migrations:   moves,
			Retries:      h.retries(),
			OnPlaced:     h.watch.NotifyPlaced,
			Metrics:      h.measure,
			Log:          h.Log,
			Bounds:       func() relay.Bounds { return *h.bounds.Load() },
			ShutdownAt:   func() boottime.Instant { return boottime.Instant(h.endsAt.Load()) },
		},
	}
}

// placingOf returns how servers are chosen.
func placingOf(name string) placement.Policy {
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
	if err := digest.DRPCRegisterDigest(handler, h.mirror); err != nil {
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
		Hosts:        h.ledger.EntryHosts,
		WindowMillis: int64(h.Settings.RetryWindowSeconds * millisPerSecond),
	}
}

func (h *Host) limits() routetable.Limits {
	if table := h.courier.Configuration().RouteTable; table != nil {
		return table.Limits
	}
	return routetable.Limits{}
}

// readiness answers the platform's question whether to send new connections.
func (h *Host) readiness() http.Handler {
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
	if h.endsAt.Load() != 0 {
		return false
	}
	known := h.courier.Configuration()
	if known.RouteTable == nil || h.courier.Servers().ConfirmedAt == 0 {
		return false
	}
	readyMillis := int64(readyShare * float64(h.bounds.Load().RevokeMillis))
	return boottime.Now().MillisSince(known.ConfirmedAt) < readyMillis
}

// awaitEnd waits for the signal to stop, lets the platform notice, and lets
// open requests end within the grace period.
func (h *Host) awaitEnd(life lifecycle.Lifecycle) error {
	select {
	case <-life.Drain.Done():
	case <-life.Cut.Done():
		return nil
	}
	graceMillis := int64(h.Settings.GraceSeconds*millisPerSecond) - lastMillis
	deadline := time.Now().Add(time.Duration(graceMillis) * time.Millisecond)
	h.endsAt.Store(int64(boottime.Now().AddMillis(graceMillis)))
	h.server.CloseAfterAnswers()
	h.Log.Info("stopping", "Open", h.server.Open(), "Deadline", deadline)
	accept := time.NewTimer(acceptMillis * time.Millisecond)
	defer accept.Stop()
	select {
	case <-accept.C:
	case <-life.Cut.Done():
	}
	h.server.CloseIdle()
	left := life.Finish(h.server.Open, deadline)
	if left > 0 {
		h.Log.Warn("requests cut at the end of the grace period", "Open", left)
	}
	return nil
}
