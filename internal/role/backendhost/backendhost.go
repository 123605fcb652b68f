// Package backendhost runs the process beside one backend server. The process is the
// only client of the engine or plain service.
//
// Host assembles the parts of the process: the owner, which serves the requests of
// the entry hosts (package engineowner or serviceowner), the registration in the
// platform's host list, the exchange of configuration versions with entry hosts and,
// beside an engine, the orders to the engine (package reconciler).
package backendhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/admission"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/engineowner"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/serviceowner"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/role/configuration"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/poller"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// maxReplayBytes limits the size of the answers held for replay.
	maxReplayBytes = 96 << 20
	// initialStepMicros is the assumed time between two tokens of a generation, in
	// microseconds, until one is measured.
	initialStepMicros = 30000
	// registerTimeoutMillis limits one registration in the host list.
	registerTimeoutMillis = 2000
)

// owner serves the requests for the engine or the plain service, as its only client.
type owner interface {
	message.DRPCBackendServer
	Prepare()
	Run(context.Context) error
	Leave()
	Open() int
	// Served returns the number of entry hosts that have not received their answers.
	Served() int
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
	metrics     *metrics.Registry
	// received bounds what others make the process hold.
	received      *heldbytes.Budget
	configuration *configuration.Source
	owner         owner
	hosts         *hostlist.Client
	peers         entryHosts
	// orders sends orders to the engine. It is nil beside a plain service.
	orders *orders
}

// Run serves until the lifecycle's drain has ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	h.prepare()
	peers, err := transport.ListenPeers(life.Abort, h.Settings.PeerAddress)
	if err != nil {
		return err
	}
	metricsListener, err := transport.Listen(life.Abort, h.Settings.MetricsAddress)
	if err != nil {
		return err
	}
	log := logging.For(h.Log, logging.Process)
	log.Info("serving", "Name", h.Settings.Name, "Peer", h.Settings.PeerAddress, "Incarnation", h.incarnation)
	program := lifecycle.Program{
		Life:          life,
		Log:           log,
		DrainSeconds:  h.Settings.DrainSeconds,
		StopAdmission: h.leave,
		Open:          h.owner.Open,
		Servers: []lifecycle.Part{
			(&transport.Server{Listener: peers, Handler: h.handler(), Memory: h.received}).Run,
			transport.HTTPServer{Listener: metricsListener, Handler: h.metricsHandler()}.Run,
		},
		Unsent: h.owner.Served,
	}
	parts := []lifecycle.Part{
		h.owner.Run,
		h.metrics.Run,
		h.configuration.Run,
		h.register,
		func(ctx context.Context) error { return h.peers.run(ctx, h.hosts) },
	}
	if h.orders != nil {
		parts = append(parts, h.orders.reconciler.Run)
	}
	return program.Run(parts...)
}

// leave stops the admission of new work and publishes the new state in the
// platform's host list.
func (h *Host) leave(ctx context.Context, _ time.Time) {
	h.owner.Leave()
	h.announce(ctx, hostlist.StateLeaving)
}

func (h *Host) prepare() {
	h.incarnation = max(1, rand.Uint64())
	h.ring = &explanation.Ring{}
	h.received = lifecycle.NewReceivedBudget()
	h.metrics = &metrics.Registry{Received: h.received}
	h.hosts = &hostlist.Client{Address: h.Settings.HostListAddress, HTTP: transport.NewPlatformClient()}
	h.peers.seeds = h.Settings.Peers
	h.configuration = &configuration.Source{
		Address: h.Settings.PeerAddress,
		Log:     h.Log,
		Peers:   h.peers.addresses,
	}
	h.configuration.Prepare()
	buffer := &replay.Buffer{
		Backend:     h.Settings.Name,
		Incarnation: h.incarnation,
		MaxBytes:    maxReplayBytes,
	}
	checker := &permitcheck.Checker{
		Backend:         h.Settings.Name,
		Incarnation:     h.incarnation,
		Replay:          buffer,
		RememberSeconds: h.Settings.RememberSeconds,
	}
	if h.Settings.Kind == process.KindPlain {
		h.owner = h.newServiceOwner(buffer, checker)
	} else {
		h.owner = h.newEngineOwner(buffer, checker)
	}
	h.owner.Prepare()
	if h.Settings.Kind == process.KindEngine {
		h.orders = h.newOrders()
		h.peers.onList = h.orders.rank.update
	}
}

func (h *Host) newEngineOwner(buffer *replay.Buffer, checker *permitcheck.Checker) owner {
	return &engineowner.Owner{
		Settings:      h.Settings,
		Incarnation:   h.incarnation,
		PermitChecker: checker,
		Engine: engineAdapter{client: &engine.Client{
			Address: h.Settings.EngineAddress,
			HTTP:    &http.Client{Transport: transport.NewTransport()},
		}},
		Replay: buffer,
		Admission: &admission.Controller{
			Policy:         admission.DefaultPolicy(),
			CapacityTokens: h.Settings.MemoryTokens,
			BatchLimit:     h.Settings.MaxRunning,
			StepMicros:     initialStepMicros,
			Lengths:        &outputlength.Model{},
		},
		Configuration: h.configuration.Document,
		ConfigVersion: h.configuration.Version,
		VersionSeen:   h.configuration.Observe,
		Crashes:       h.newCrashReports(),
		Records:       explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(logging.Keeper)},
		Metrics:       engineMetrics{registry: h.metrics},
		Log:           logging.For(h.Log, logging.Keeper),
	}
}

func (h *Host) newServiceOwner(buffer *replay.Buffer, checker *permitcheck.Checker) owner {
	return &serviceowner.Owner{
		Settings:      h.Settings,
		PermitChecker: checker,
		Replay:        buffer,
		Service: &plainservice.Client{
			Address: h.Settings.ServiceAddress,
			HTTP:    &http.Client{Transport: transport.NewTransport()},
			Memory:  h.received,
		},
		ConfigVersion: h.configuration.Version,
		VersionSeen:   h.configuration.Observe,
		Crashes:       h.newCrashReports(),
		Records:       explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(logging.Desk)},
		Log:           logging.For(h.Log, logging.Desk),
	}
}

func (h *Host) newCrashReports() *crashreport.Reports {
	return &crashreport.Reports{Backend: h.Settings.Name, Incarnation: h.incarnation}
}

// handler returns the handler for the calls of other processes.
func (h *Host) handler() *drpcmux.Mux {
	mux := drpcmux.New()
	transport.Must(message.DRPCRegisterBackend(mux, h.owner))
	transport.Must(message.DRPCRegisterPeer(mux, &peer.Peer{
		Exchanger: h.configuration,
		Records: func(_ context.Context, id string) []explanation.Record {
			return h.ring.Find(id)
		},
		State:         h.status,
		StopAdmission: h.owner.Leave,
	}))
	return mux
}

func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", h.metrics.Handler())
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
		ConfigVersion: h.configuration.Version(),
		Leaving:       load.GetLeaving(),
		OpenRequests:  h.owner.Open(),
		Orders:        h.orders.status(),
	}
}

// register registers the host in the platform's host list periodically until ctx
// ends.
func (h *Host) register(ctx context.Context) error {
	for {
		state := hostlist.StateLive
		if h.owner.Load().GetLeaving() {
			state = hostlist.StateLeaving
		}
		h.announce(ctx, state)
		period := time.Duration(poller.RegisterPeriodMillis(h.peers.hostCount())) * time.Millisecond
		timer := time.NewTimer(time.Until(time.Now().Add(period)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// announce registers the host with the given state in the platform's host list. A
// failure is only logged, as register tries again.
func (h *Host) announce(ctx context.Context, state string) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(registerTimeoutMillis*time.Millisecond))
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
		logging.For(h.Log, logging.HostList).Warn("registration in the host list failed", "Cause", err)
	}
}
