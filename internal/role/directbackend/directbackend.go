// Package directbackend runs the monitor process beside an engine of the direct
// path, on which entry hosts send requests to engines without a process in between.
package directbackend

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/monitor"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// reserveMillis is the time before the end of the grace period at which migrations are cancelled,
	// so that their messages still reach the entry hosts. It is at most reserveShare of the grace
	// period.
	reserveMillis = 500
	reserveShare  = 0.25
	// metricsShutdownMillis is the time for answering open queries of metrics when the process ends. It
	// must end within its grace period.
	metricsShutdownMillis = 50
)

// Host is the process beside one engine. Its fields must be set before Run.
type Host struct {
	Settings process.DirectBackend
	// SettingsPath is the settings file. It is read again on a hang-up signal.
	SettingsPath string
	Log          *slog.Logger
}

// Run serves until the drain of the lifecycle begins and the migrations in progress have ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	peers, err := transport.ListenPeers(life.Abort, h.Settings.PeerAddress())
	if err != nil {
		return err
	}
	metricsListener, err := transport.Listen(life.Abort, h.Settings.MetricsAddress())
	if err != nil {
		return err
	}
	received := lifecycle.LimitMemory(h.Settings.MemoryMegabytes)
	registry := &metrics.Registry{Received: received}
	engineMonitor := &monitor.Monitor{
		EngineAddress: h.Settings.EngineAddress,
		Engines:       &platform.Engines{HTTP: platform.NewEngineHTTP(), Orders: platform.NewOrderHTTP(), Memory: received},
		PeerPort:      h.Settings.PeerPort,
		KeepRuns:      h.Settings.KeepRuns,
		Metrics:       registry,
		Log:           h.Log,
	}
	mux := drpcmux.New()
	if err := sighting.DRPCRegisterLookout(mux, engineMonitor); err != nil {
		return err
	}
	state := func() peer.Status { return h.status(engineMonitor.State()) }
	if err := message.DRPCRegisterPeer(mux, &peer.StatusOnly{State: state}); err != nil {
		return err
	}
	server := &transport.Server{Listener: peers, Handler: mux, Memory: received}
	h.Log.Info("serving", "Name", h.Settings.Name, "Engine", h.Settings.EngineAddress)
	ctx, end := context.WithCancel(life.Abort)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return engineMonitor.Run(ctx) })
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return registry.Run(ctx) })
	group.Go(func() error {
		return transport.HTTPServer{Listener: metricsListener, Handler: registry.Handler(), ShutdownMillis: metricsShutdownMillis}.Run(ctx)
	})
	group.Go(func() error { return life.Reload.Run(ctx, h.reload) })
	group.Go(func() error {
		defer end()
		h.awaitStop(ctx, life, engineMonitor)
		return nil
	})
	err = group.Wait()
	h.Log.Info("stopped", "Name", h.Settings.Name, "Signals", life.Signals())
	return err
}

// awaitStop waits for the signal to stop, and then until the monitor has completed what it has begun
// or the grace period is nearly over.
func (h *Host) awaitStop(ctx context.Context, life lifecycle.Lifecycle, engineMonitor *monitor.Monitor) {
	select {
	case <-life.Drain.Done():
	case <-ctx.Done():
	}
	if ctx.Err() != nil || h.Settings.GraceSeconds == 0 {
		return
	}
	signalledAt := life.SignalledAt()
	reserve := lifecycle.Reserve{Millis: reserveMillis, Share: reserveShare}
	var endsAt atomic.Int64
	endsAt.Store(int64(reserve.BeginsAt(signalledAt, h.Settings.GraceSeconds)))
	// The stop does not wait for the settings file, whose read may hang.
	var reread errgroup.Group
	reread.Go(func() error {
		endsAt.Store(int64(reserve.BeginsAt(signalledAt, h.grace().Seconds())))
		return nil
	})
	engineMonitor.Stop(ctx, func() boottime.Instant { return boottime.Instant(endsAt.Load()) })
}

// grace returns the grace period.
func (h *Host) grace() lifecycle.Grace {
	load := func(path string) (float64, error) {
		settings, err := process.LoadDirectBackend(path)
		return settings.GraceSeconds, err
	}
	return lifecycle.Grace{Path: h.SettingsPath, Load: load, Before: h.Settings.GraceSeconds, Log: h.Log}
}

// reload reads and validates the settings file again. Changed settings take effect
// only after a restart, so the result is only logged.
func (h *Host) reload() {
	settings, err := process.LoadDirectBackend(h.SettingsPath)
	if err != nil {
		h.Log.Error("failed to reload settings", "Path", h.SettingsPath, "Error", err)
		return
	}
	h.Log.Info("reloaded settings", "Path", h.SettingsPath, "Restart", settings != h.Settings)
}

// status returns the state of the process, with the last report of its engine and
// the age of that report.
func (h *Host) status(engine monitor.State) peer.Status {
	const unknownAge = -1
	lastReport := peer.CachedState{Name: "Engine", Entries: engine.Runs, AgeMillis: unknownAge}
	if engine.ReportedAt != 0 {
		lastReport.AgeMillis = boottime.Now().MillisSince(engine.ReportedAt)
	}
	return peer.Status{
		Name:         h.Settings.Name,
		Role:         "DirectBackend",
		Zone:         h.Settings.Zone,
		Leaving:      engine.Leaving,
		OpenRequests: engine.Runs,
		Beliefs:      []peer.CachedState{lastReport, {Name: "Watchers", Entries: engine.Watchers}},
	}
}
