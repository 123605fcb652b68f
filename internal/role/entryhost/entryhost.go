// Package entryhost runs the process of one entry host. It admits the requests of
// callers, routes them to the processes beside backend servers and relays the answers.
package entryhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/ratelimit"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/leaseholder"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/role/configuration"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/balancer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/poller"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Host is the process of one entry host. Its fields must be set before Run.
type Host struct {
	Settings process.Entry
	Log      *slog.Logger
	// Version is the program's version.
	Version string

	leaving leavingFlag
	ring    *explanation.Ring
	metrics *metrics.Registry
	// received bounds what others make the process hold.
	received *heldbytes.Budget
	// intake bounds what callers make it hold.
	intake        *intake.Budget
	configuration *configuration.Source
	members       *membership.Table
	quarantine    *quarantine.Table
	hosts         *hostlist.Client
	quota         *quota.Quota
	rateLimiter   *ratelimit.Limiter
	holder        *leaseholder.Holder
	poller        *poller.Poller
	balancer      *balancer.Balancer
	runner        *dispatch.Runner
}

// Run serves until the lifecycle's drain has ended.
func (h *Host) Run(life lifecycle.Lifecycle) error {
	h.prepare()
	listeners, err := h.listen(life.Abort)
	if err != nil {
		return err
	}
	log := logging.For(h.Log, logging.Process)
	log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress, "Peer", h.Settings.PeerAddress)
	program := lifecycle.Program{
		Life:          life,
		Log:           log,
		DrainSeconds:  h.Settings.DrainSeconds,
		StopAdmission: h.leave,
		Open:          h.rateLimiter.Open,
		Servers: []lifecycle.Part{
			(&transport.Server{Listener: listeners.peers, Handler: h.handler(), Memory: h.received}).Run,
			transport.HTTPServer{Listener: listeners.metrics, Handler: h.metricsHandler()}.Run,
		},
	}
	return program.Run(
		transport.HTTPServer{Listener: listeners.callers, Handler: h.newAPI().Routes(), Leaving: h.leaving.isSet, Intake: h.intake}.Run,
		h.metrics.Run,
		h.configuration.Run,
		h.poller.Run,
		h.holder.Run,
		h.quota.Run,
	)
}

// leave stops the admission of new requests and publishes the new state in the
// platform's host list.
func (h *Host) leave(ctx context.Context, _ time.Time) {
	h.leaving.set()
	h.poller.Register(ctx)
}

// prepare creates the parts of the process. They access each other only through
// methods.
func (h *Host) prepare() {
	h.ring = &explanation.Ring{}
	h.received = lifecycle.NewReceivedBudget()
	h.intake = lifecycle.CallerLimits{
		CallerMegabytes: h.Settings.CallerMegabytes,
		MaxDescriptors:  h.Settings.MaxDescriptors,
		ConnectionBytes: transport.CallerConnectionBytes,
	}.NewBudget()
	h.metrics = &metrics.Registry{Received: h.received, Callers: h.intake}
	h.hosts = &hostlist.Client{Address: h.Settings.HostListAddress, HTTP: transport.NewPlatformClient()}
	h.members = &membership.Table{}
	h.quarantine = &quarantine.Table{Host: rand.Uint64()}
	log := &journal.Client{Address: h.Settings.LogServiceAddress, HTTP: transport.NewPlatformClient()}
	h.configuration = h.newConfigurationSource(log)
	h.balancer = h.newBalancer()
	h.poller = h.newPoller()
	h.holder = h.newHolder(log)
	h.quota = h.newQuota()
	h.rateLimiter = &ratelimit.Limiter{
		MaxOpen: h.Settings.MaxOpenRequests,
		Quota:   h.quota,
	}
	h.runner = &dispatch.Runner{
		Memory:         h.received,
		Picker:         h.balancer,
		Claimer:        h.holder,
		Records:        h.writer(logging.Visit),
		Metrics:        h.metrics,
		Quarantine:     h.quarantine,
		ProgressMillis: h.Settings.ProgressMillis,
		Partitions:     h.Settings.Partitions,
		Address:        h.Settings.PeerAddress,
		ConfigVersion:  h.configuration.Version,
	}
}

func (h *Host) writer(part logging.Part) explanation.Writer {
	return explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(part)}
}

// listeners holds the listeners of the process.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (h *Host) listen(ctx context.Context) (listeners, error) {
	var opened listeners
	var err error
	opened.callers, err = transport.ListenCallers(ctx, h.Settings.CallerAddress, h.intake.QueueBytes())
	if err != nil {
		return opened, err
	}
	opened.peers, err = transport.ListenPeers(ctx, h.Settings.PeerAddress)
	if err != nil {
		return opened, err
	}
	opened.metrics, err = transport.Listen(ctx, h.Settings.MetricsAddress)
	return opened, err
}

func (h *Host) newAPI() *httpapi.API {
	return &httpapi.API{
		Runner:           h.runner,
		RateLimiter:      h.rateLimiter,
		Configuration:    h.configuration.Document,
		Explainer:        h.explain,
		Observer:         observer{registry: h.metrics},
		KeyWindowSeconds: h.Settings.KeyWindowSeconds,
		MaxBodyBytes:     h.Settings.MaxBodyBytes,
		HeartbeatMillis:  h.Settings.HeartbeatMillis,
		Draining:         h.leaving.isSet,
	}
}

// handler returns the handler for the calls of other processes.
func (h *Host) handler() *drpcmux.Mux {
	mux := drpcmux.New()
	transport.Must(message.DRPCRegisterEntry(mux, &entryCalls{holder: h.holder, quota: h.quota}))
	transport.Must(message.DRPCRegisterPeer(mux, &peer.Peer{
		Exchanger:     h.configuration,
		Records:       h.records,
		State:         h.status,
		StopAdmission: h.leaving.set,
	}))
	return mux
}

// entryCalls serves the calls of other entry hosts.
type entryCalls struct {
	holder *leaseholder.Holder
	quota  *quota.Quota
}

// Claim binds an idempotency key in a partition whose lease this host holds.
func (c *entryCalls) Claim(ctx context.Context, in *message.ClaimRequest) (*message.ClaimReply, error) {
	return c.holder.HandleClaim(ctx, in)
}

// Meter handles a sample of the requests of an account whose home is this host, that
// is, whose rate this host estimates.
func (c *entryCalls) Meter(_ context.Context, in *message.MeterRequest) (*message.MeterReply, error) {
	return c.quota.HandleMeter(in, time.Now()), nil
}

func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", h.metrics.Handler())
	return mux
}
