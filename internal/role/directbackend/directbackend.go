// Package directbackend runs the process beside an engine that entry hosts
// speak to directly.
package directbackend

import (
	"context"
	"log/slog"

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

// Host is the process beside one engine. Its fields are set before Run.
type Host struct {
	Settings process.DirectBackend
	// SettingsPath is the file that is read again on request.
	SettingsPath string
	Log          *slog.Logger
}

// Run serves until the lifecycle's drain begins.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	peers, err := transport.ListenPeers(life.Abort, h.Settings.PeerAddress())
	if err != nil {
		return err
	}
	metricsListener, err := transport.Listen(life.Abort, h.Settings.MetricsAddress())
	if err != nil {
		return err
	}
	figures := &metrics.Registry{}
	out := &monitor.Monitor{
		EngineAddress: h.Settings.EngineAddress,
		Engines:       &platform.Engines{HTTP: platform.NewEngineHTTP()},
		KeepRuns:      h.Settings.KeepRuns,
		Metrics:       figures,
		Log:           h.Log,
	}
	handler := drpcmux.New()
	if err := sighting.DRPCRegisterLookout(handler, out); err != nil {
		return err
	}
	state := func() peer.Status { return h.status(out.State()) }
	if err := message.DRPCRegisterPeer(handler, &peer.StatusOnly{State: state}); err != nil {
		return err
	}
	server := &transport.Server{Listener: peers, Handler: handler}
	h.Log.Info("serving", "Name", h.Settings.Name, "Engine", h.Settings.EngineAddress)
	ctx, stop := context.WithCancel(life.Drain)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return out.Run(ctx) })
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return figures.Run(ctx) })
	group.Go(func() error {
		return transport.HTTPServer{Listener: metricsListener, Handler: figures.Handler()}.Run(ctx)
	})
	group.Go(func() error { return life.Reload.Run(ctx, h.reload) })
	err = group.Wait()
	h.Log.Info("stopped", "Name", h.Settings.Name)
	return err
}

// reload checks the settings anew. All of them hold from the start of the
// process to its end.
func (h *Host) reload() {
	settings, err := process.LoadDirectBackend(h.SettingsPath)
	if err != nil {
		h.Log.Error("settings not read again", "Path", h.SettingsPath, "Error", err)
		return
	}
	h.Log.Info("settings read again", "Path", h.SettingsPath, "Restart", settings != h.Settings)
}

// status returns what the process knows of its engine, with the age.
func (h *Host) status(engine monitor.State) peer.Status {
	const unknownAge = -1
	report := peer.CachedState{Name: "Engine", Entries: engine.Runs, AgeMillis: unknownAge}
	if engine.ReportedAt != 0 {
		report.AgeMillis = boottime.Now().MillisSince(engine.ReportedAt)
	}
	return peer.Status{
		Name:         h.Settings.Name,
		Role:         "DirectBackend",
		Zone:         h.Settings.Zone,
		Leaving:      engine.Leaving,
		OpenRequests: engine.Runs,
		Beliefs:      []peer.CachedState{report, {Name: "Watchers", Entries: engine.Watchers}},
	}
}
