// Package directentry runs an entry host of the direct path, on which entry hosts send
// requests to backend servers without a process in between. Host is the process: it
// watches the platform's store and the engines' monitors, and serves callers.
package directentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpserver"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/runmigration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/enginereport"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/outputestimate"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placementqueue"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverlimit"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverpause"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/unresponsive"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/watch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// readyShare is the share of RevokeMillis up to which the age of the
	// configuration may grow while the process reports itself as ready. RevokeMillis
	// bounds the age at which keys are accepted. The share is below one, so that the
	// platform sends callers to other hosts before this one must refuse their keys.
	readyShare = 0.6

	// probeShutdownMillis is the time for answering open probes and queries of metrics when
	// the process ends. It is short, as it is what is left of the grace period.
	probeShutdownMillis = 50

	millisPerSecond = 1000
)

// Host is the process of one entry host. Its fields must be set before Run.
type Host struct {
	Settings process.DirectEntry
	// SettingsPath is the settings file. It is read again on a hang-up signal.
	SettingsPath string
	Log          *slog.Logger

	storeWatcher *storewatcher.Watcher
	cache        *storecache.Cache
	loadTable    *placement.LoadTable
	server       *httpserver.Server
	relay        *relay.Relay
	watch        *watch.Watch
	waiting      *placementqueue.Queue
	migrator     *runmigration.Migrator
	quarantine   *quarantine.Table
	crashes      *crashlog.Log
	metrics      *metrics.Registry
	storeCalls   *storecalls.Counter
	// received bounds what servers make the process hold.
	received *heldbytes.Budget
	// intake bounds what callers make it hold.
	intake *intake.Budget
	// bounds limit the age at which the cached configuration is used. They may
	// change when the settings are reloaded.
	bounds atomic.Pointer[relay.Bounds]
	// stop is nil until the process has been signalled to stop. It is stored once more
	// when the settings file, with the grace period, has been read again.
	stop atomic.Pointer[relay.Stop]
}

// Run serves until the lifecycle's drain has ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	h.received = lifecycle.LimitMemory(h.Settings.MemoryMegabytes)
	h.intake = h.newIntake()
	callers, err := transport.ListenCallers(life.Abort, h.Settings.CallerAddress, h.intake.QueueBytes())
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
	h.Log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress,
		"CallerBytes", h.intake.MostBytes, "CallerConnections", h.intake.MostConnections)
	ctx, end := context.WithCancel(life.Abort)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.storeWatcher.Run(ctx) })
	group.Go(func() error { return h.serveControl(ctx, control) })
	group.Go(func() error { return h.server.Run(ctx) })
	group.Go(func() error { return h.watch.Run(ctx) })
	group.Go(func() error { return h.waiting.Run(ctx) })
	group.Go(func() error { return h.migrator.Run(ctx) })
	group.Go(func() error { return h.crashes.Run(ctx) })
	group.Go(func() error { return h.relay.SettleAnswers(ctx) })
	group.Go(func() error { return h.metrics.Run(ctx) })
	group.Go(func() error { return h.storeCalls.Run(ctx, h.Log) })
	group.Go(func() error {
		return transport.HTTPServer{Listener: metricsListener, Handler: h.metrics.Handler(), ShutdownMillis: probeShutdownMillis}.Run(ctx)
	})
	group.Go(func() error {
		return transport.HTTPServer{Listener: ready, Handler: h.readinessHandler(), ShutdownMillis: probeShutdownMillis}.Run(ctx)
	})
	group.Go(func() error { return life.Reload.Run(ctx, h.reload) })
	group.Go(func() error {
		defer end()
		return h.awaitStop(life)
	})
	err = group.Wait()
	h.storeCalls.LogTotals(h.Log)
	h.Log.Info("stopped", "Name", h.Settings.Name, "CutAnswers", h.metrics.Snapshot().CutAnswers,
		"ClosedWaiting", h.server.ClosedWaiting(), "AcceptedLast", h.server.Listener.AcceptedLast())
	return err
}

// prepare creates the parts of the process.
func (h *Host) prepare(callers net.Listener) {
	h.setBounds(h.Settings)
	store := h.newStore()
	h.quarantine = &quarantine.Table{Host: rand.Uint64()}
	h.crashes = &crashlog.Log{Store: store, Readers: h.otherReaders(), Table: h.quarantine, Log: h.Log}
	h.storeWatcher = h.newStoreWatcher(store)
	h.metrics = &metrics.Registry{StoreCalls: h.storeCalls, Received: h.received, Callers: h.intake}
	h.loadTable = &placement.LoadTable{
		Zone:         h.Settings.Zone,
		Policy:       placementPolicy(h.Settings.Placing),
		ServerLimits: serverlimit.Table{Host: rand.Uint64(), ColdPerSecond: h.Settings.ColdPerSecond},
		Pauses:       serverpause.Table{DrainMillis: h.Settings.DrainMillis},
		Unresponsive: unresponsive.Table{Host: rand.Uint64()},
	}
	limits := &h.loadTable.ServerLimits
	limits.Hosts = h.loadTable.EntryHosts
	migrations := &relay.Migrations{}
	ends := &serverend.Watch{}
	h.waiting = &placementqueue.Queue{}
	h.watch = h.newWatch(migrations, ends)
	engines := &platform.Engines{HTTP: platform.NewOrderHTTP(), Orders: platform.NewOrderHTTP(), Memory: h.received}
	h.migrator = &runmigration.Migrator{
		StoreWatcher: h.storeWatcher,
		LoadTable:    h.loadTable,
		Migrations:   migrations,
		Monitored:    h.watch.Monitored,
		Engines:      engines,
		Log:          h.Log,
	}
	h.storeWatcher.OnServers = h.migrator.Wake
	handler := &relay.Relay{
		StoreWatcher: h.storeWatcher,
		LoadTable:    h.loadTable,
		Migrations:   migrations,
		Retries:      h.retries(),
		Hedges:       h.hedges(),
		Outputs:      &outputestimate.Model{},
		ServerLimits: limits,
		Waiting:      h.waiting,
		Quarantine:   h.quarantine,
		Crashes:      h.crashes,
		Ends:         ends,
		Reserve:      h.watch.Reserve,
		OnPlaced:     h.watch.NotifyPlaced,
		AskEnded:     h.watch.AskEnded,
		AskEngine:    (&enginereport.Client{Engines: engines}).Ask,
		OnLeaving:    h.migrator.Wake,
		Memory:       h.received,
		Metrics:      h.metrics,
		Log:          h.Log,
		Bounds:       func() relay.Bounds { return *h.bounds.Load() },
		Stop:         h.plannedStop,

		MonitorSilentMillis: h.watch.SilentMillis,
	}
	h.storeWatcher.OnEnded = handler.NoticeUnlisted
	h.relay = handler
	h.server = &httpserver.Server{
		Listener: &transport.StoppingListener{Listener: callers},
		Log:      h.Log,
		Limits:   h.limits,
		Handler:  handler,
		Intake:   h.intake,
		OnFull:   handler.RefuseFull,
	}
}

// newIntake returns the budget of what callers make the process hold.
func (h *Host) newIntake() *intake.Budget {
	limits := lifecycle.CallerLimits{
		MemoryMegabytes: h.Settings.MemoryMegabytes,
		CallerMegabytes: h.Settings.CallerMegabytes,
		MaxDescriptors:  h.Settings.MaxDescriptors,
		ConnectionBytes: httpserver.ConnectionBytes,
	}
	return limits.NewBudget()
}

// newWatch returns the watch of the engines, which also passes on what this host states of servers.
func (h *Host) newWatch(migrations *relay.Migrations, ends *serverend.Watch) *watch.Watch {
	w := &watch.Watch{
		StoreWatcher: h.storeWatcher,
		LoadTable:    h.loadTable,
		Migrations:   migrations,
		Waiting:      h.waiting,
		Log:          h.Log,
		Memory:       h.received,
		PeerPort:     h.Settings.PeerPort,
		ServerLimits: &h.loadTable.ServerLimits,
		Ends:         ends,
		Unresponsive: &h.loadTable.Unresponsive,
	}
	h.loadTable.ServerLimits.OnChange = w.StateRateLimits
	h.loadTable.Unresponsive.OnChange = w.StateUnresponsive
	return w
}

// newStore creates the client of the store, with the counter of its calls, and the cache through
// which other entry hosts use it.
func (h *Host) newStore() *platform.Store {
	h.storeCalls = &storecalls.Counter{Role: roleName, Name: h.Settings.Name}
	store := &platform.Store{Address: h.Settings.StoreAddress, HTTP: platform.NewStoreHTTP(), Calls: h.storeCalls, Memory: h.received}
	// Another entry host asks for an append after its own failed.
	h.cache = &storecache.Cache{AppendRecords: store.WithReason(storecalls.Retry).Append}
	return store
}

// newStoreWatcher returns the watcher of the store.
func (h *Host) newStoreWatcher(store *platform.Store) *storewatcher.Watcher {
	return &storewatcher.Watcher{
		Store:      store,
		Readers:    h.Settings.Readers,
		Address:    h.Settings.ControlAddress,
		Cache:      h.cache,
		EvacMillis: h.Settings.EvacMillis,
		OnCrashes:  h.crashes.Apply,
		Log:        h.Log,
	}
}

// placementPolicy returns the placement policy that has the given name in the settings.
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

// otherReaders returns the addresses of the entry hosts that read the store, without this one.
func (h *Host) otherReaders() []string {
	return slices.DeleteFunc(slices.Clone(h.Settings.Readers), func(address string) bool {
		return address == h.Settings.ControlAddress
	})
}

// serveControl serves the calls of other entry hosts and of operators. It returns at
// once if listener is nil.
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
	server := &transport.Server{Listener: listener, Handler: handler, Memory: h.received}
	return server.Run(ctx)
}

// setBounds applies the bounds in the settings, RevokeMillis and ApplyMillis.
func (h *Host) setBounds(s process.DirectEntry) {
	h.bounds.Store(&relay.Bounds{RevokeMillis: s.RevokeMillis, ApplyMillis: s.ApplyMillis})
}

// reload reads the settings file again and applies RevokeMillis and ApplyMillis. Other
// settings, such as addresses and limits, take effect only after a restart.
func (h *Host) reload() {
	settings, err := process.LoadDirectEntry(h.SettingsPath)
	if err != nil {
		h.Log.Error("failed to reload settings", "Path", h.SettingsPath, "Error", err)
		return
	}
	h.setBounds(settings)
	h.Log.Info("reloaded settings", "Path", h.SettingsPath,
		"RevokeMillis", settings.RevokeMillis, "ApplyMillis", settings.ApplyMillis)
}

// retries returns the retry budget.
func (h *Host) retries() *relay.Retries {
	return &relay.Retries{
		Ratio:        h.Settings.RetryRatio,
		Slack:        h.Settings.RetrySlack,
		Hosts:        h.loadTable.EntryHosts,
		WindowMillis: int64(h.Settings.RetryWindowSeconds * millisPerSecond),
	}
}

// hedges returns the limit on hedged requests, or nil if there are to be none.
func (h *Host) hedges() *hedge.Table {
	if h.Settings.HedgeRatio == 0 {
		return nil
	}
	return &hedge.Table{Ratio: h.Settings.HedgeRatio}
}

func (h *Host) limits() routetable.Limits {
	if table := h.storeWatcher.Configuration().RouteTable; table != nil {
		return table.Limits
	}
	return routetable.Limits{}
}

// readinessHandler returns the handler for the platform's readiness probes, which
// decide whether the platform sends new connections to this host.
func (h *Host) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// ready reports whether the process can serve requests that carry a key.
func (h *Host) ready() bool {
	if h.plannedStop() != (relay.Stop{}) {
		return false
	}
	configuration := h.storeWatcher.Configuration()
	if configuration.RouteTable == nil || h.storeWatcher.Servers().ConfirmedAt == 0 {
		return false
	}
	readyMillis := int64(readyShare * float64(h.bounds.Load().RevokeMillis))
	return boottime.Now().MillisSince(configuration.ConfirmedAt) < readyMillis
}
