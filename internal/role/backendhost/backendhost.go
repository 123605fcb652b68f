// Package backendhost runs the process beside one backend server.
package backendhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/booking"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/keeper"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/logbook"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/porter"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/tide"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/warden"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/desk"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/records/diary"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/measure"
	"github.com/fulmarvalve/fulmarvalve/internal/role/bulletin"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifetime"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/rounds"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/line"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// heldBytes bounds the answers held for replay.
	heldBytes = 96 << 20
	// firstStepMicros is the engine's step assumed before any is measured.
	firstStepMicros = 30000
	// registerMillis bounds one registration.
	registerMillis = 2000
)

// owner is the part that owns the engine or the plain service.
type owner interface {
	message.DRPCBackendServer
	Prepare()
	Run(context.Context) error
	Leave()
	Open() int
	Load() *message.Load
}

// Host is the process beside one backend server. Its fields must be set before
// Run.
type Host struct {
	Settings process.Backend
	Log      *slog.Logger
	// Version is the program's version.
	Version string

	incarnation uint64
	ring        *explanation.Ring
	measure     *measure.Measure
	bulletin    *bulletin.Bulletin
	owner       owner
	hosts       *hostlist.Client
	peers       entryHosts
	// orders is nil beside a plain service.
	orders *orders
}

// Run serves until the lifetime's drain has ended.
func (h *Host) Run(life lifetime.Lifetime) error {
	h.prepare()
	peers, err := line.ListenPeers(life.Cut, h.Settings.PeerAddress)
	if err != nil {
		return err
	}
	metrics, err := line.Listen(life.Cut, h.Settings.MetricsAddress)
	if err != nil {
		return err
	}
	log := diary.For(h.Log, diary.Process)
	log.Info("serving", "Name", h.Settings.Name, "Peer", h.Settings.PeerAddress, "Incarnation", h.incarnation)
	program := lifetime.Program{
		Life:         life,
		Log:          log,
		DrainSeconds: h.Settings.DrainSeconds,
		Leave:        h.leave,
		Open:         h.owner.Open,
	}
	server := &line.Server{Listener: peers, Handler: h.handler()}
	parts := []lifetime.Part{
		server.Run,
		line.HTTPServer{Listener: metrics, Handler: h.metricsHandler()}.Run,
		h.owner.Run,
		h.measure.Run,
		h.bulletin.Run,
		h.register,
		func(ctx context.Context) error { return h.peers.run(ctx, h.hosts) },
	}
	if h.orders != nil {
		parts = append(parts, h.orders.foreman.Run)
	}
	return program.Run(parts...)
}

// leave stops the admission of new work and tells the platform's list.
func (h *Host) leave(ctx context.Context) {
	h.owner.Leave()
	h.announce(ctx, hostlist.StateLeaving)
}

func (h *Host) prepare() {
	h.incarnation = max(1, rand.Uint64())
	h.ring = &explanation.Ring{}
	h.measure = &measure.Measure{}
	h.hosts = &hostlist.Client{Address: h.Settings.HostListAddress, HTTP: line.NewPlatformClient()}
	h.peers.seeds = h.Settings.Peers
	h.bulletin = &bulletin.Bulletin{
		Address: h.Settings.PeerAddress,
		Log:     h.Log,
		Peers:   h.peers.addresses,
	}
	h.bulletin.Prepare()
	book := &logbook.Logbook{
		Backend:     h.Settings.Name,
		Incarnation: h.incarnation,
		MaxBytes:    heldBytes,
	}
	guard := &warden.Warden{
		Backend:         h.Settings.Name,
		Incarnation:     h.incarnation,
		Logbook:         book,
		RememberSeconds: h.Settings.RememberSeconds,
	}
	if h.Settings.Kind == process.KindPlain {
		h.owner = h.newPorter(book, guard)
	} else {
		h.owner = h.newKeeper(book, guard)
	}
	h.owner.Prepare()
	if h.Settings.Kind == process.KindEngine {
		h.orders = h.newOrders()
		h.peers.listed = h.orders.rank.take
	}
}

func (h *Host) newKeeper(book *logbook.Logbook, guard *warden.Warden) owner {
	return &keeper.Keeper{
		Settings:    h.Settings,
		Incarnation: h.incarnation,
		Warden:      guard,
		Engine: engineAdapter{client: &engine.Client{
			Address: h.Settings.EngineAddress,
			HTTP:    &http.Client{Transport: line.NewTransport()},
		}},
		Logbook: book,
		Book: &booking.Book{
			Policy:         booking.DefaultPolicy(),
			CapacityTokens: h.Settings.MemoryTokens,
			BatchLimit:     h.Settings.MaxRunning,
			StepMicros:     firstStepMicros,
			Lengths:        &tide.Model{},
		},
		Configuration: h.bulletin.Document,
		ConfigVersion: h.bulletin.Version,
		VersionSeen:   h.bulletin.Observe,
		Records:       explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(diary.Keeper)},
		Gauge:         gauge{measure: h.measure},
		Log:           diary.For(h.Log, diary.Keeper),
	}
}

func (h *Host) newPorter(book *logbook.Logbook, guard *warden.Warden) owner {
	return &porter.Porter{
		Settings: h.Settings,
		Warden:   guard,
		Logbook:  book,
		Desk: &desk.Client{
			Address: h.Settings.ServiceAddress,
			HTTP:    &http.Client{Transport: line.NewTransport()},
		},
		ConfigVersion: h.bulletin.Version,
		VersionSeen:   h.bulletin.Observe,
		Records:       explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(diary.Desk)},
		Log:           diary.For(h.Log, diary.Desk),
	}
}

// handler serves the calls of other processes.
func (h *Host) handler() *drpcmux.Mux {
	mux := drpcmux.New()
	line.Must(message.DRPCRegisterBackend(mux, h.owner))
	line.Must(message.DRPCRegisterPeer(mux, &peer.Peer{
		Exchanger: h.bulletin,
		Records: func(_ context.Context, id string) []explanation.Record {
			return h.ring.Find(id)
		},
		State: h.status,
		Leave: h.owner.Leave,
	}))
	return mux
}

func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", h.measure.Handler())
	return mux
}

func (h *Host) status() peer.Status {
	load := h.owner.Load()
	return peer.Status{
		Name:          h.Settings.Name,
		Role:          hostlist.RoleBackend,
		Region:        h.Settings.Region,
		Zone:          h.Settings.Zone,
		Version:       h.Version,
		Incarnation:   h.incarnation,
		ConfigVersion: h.bulletin.Version(),
		Leaving:       load.GetLeaving(),
		OpenRequests:  h.owner.Open(),
		Orders:        h.orders.status(),
	}
}

// register keeps the host in the platform's list.
func (h *Host) register(ctx context.Context) error {
	for {
		state := hostlist.StateLive
		if h.owner.Load().GetLeaving() {
			state = hostlist.StateLeaving
		}
		h.announce(ctx, state)
		period := time.Duration(rounds.RegisterPeriodMillis(h.peers.hostCount())) * time.Millisecond
		timer := time.NewTimer(time.Until(time.Now().Add(period)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// announce writes the host's state to the platform's list, as best it can.
func (h *Host) announce(ctx context.Context, state string) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(registerMillis*time.Millisecond))
	defer stop()
	err := h.hosts.Register(ctx, hostlist.Host{
		Name:        h.Settings.Name,
		Role:        hostlist.RoleBackend,
		Region:      h.Settings.Region,
		Zone:        h.Settings.Zone,
		PeerAddress: h.Settings.PeerAddress,
		Model:       h.Settings.Model,
		Service:     h.Settings.Service,
		State:       state,
	})
	if err != nil && ctx.Err() == nil {
		diary.For(h.Log, diary.HostList).Warn("not registered", "Cause", err)
	}
}
