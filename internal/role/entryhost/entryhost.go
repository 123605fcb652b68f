// Package entryhost runs the process of one entry host.
package entryhost

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/turnstile"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/holder"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/records/diary"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/measure"
	"github.com/fulmarvalve/fulmarvalve/internal/role/bulletin"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifetime"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/referral"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/roster"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/rounds"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/visit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/line"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Host is the process of one entry host. Its fields must be set before Run.
type Host struct {
	Settings process.Entry
	Log      *slog.Logger
	// Version is the program's version.
	Version string

	leaving  leavingFlag
	ring     *explanation.Ring
	measure  *measure.Measure
	bulletin *bulletin.Bulletin
	roster   *roster.Roster
	hosts    *hostlist.Client
	quota    *quota.Quota
	gate     *turnstile.Turnstile
	holder   *holder.Holder
	rounds   *rounds.Rounds
	referral *referral.Referral
	runner   *visit.Runner
}

// Run serves until the lifetime's drain has ended.
func (h *Host) Run(life lifetime.Lifetime) error {
	h.prepare()
	ctx, stop := context.WithCancel(life.Cut)
	defer stop()
	listeners, err := h.listen(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	server := &line.Server{Listener: listeners.peers, Handler: h.handler()}
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return line.ServeHTTP(ctx, listeners.metrics, h.metricsHandler()) })
	group.Go(func() error { return line.ServeHTTP(ctx, listeners.callers, h.intake().Routes()) })
	group.Go(func() error { return h.measure.Run(ctx) })
	group.Go(func() error { return h.bulletin.Run(ctx) })
	group.Go(func() error { return h.rounds.Run(ctx) })
	group.Go(func() error { return h.holder.Run(ctx) })
	group.Go(func() error { return h.quota.Run(ctx) })
	group.Go(func() error {
		defer stop()
		return h.drain(ctx, life)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// prepare builds the parts. They share no state but through their methods.
func (h *Host) prepare() {
	h.ring = &explanation.Ring{}
	h.measure = &measure.Measure{}
	h.hosts = &hostlist.Client{Address: h.Settings.HostListAddress, HTTP: line.NewPlatformClient()}
	h.roster = &roster.Roster{}
	log := &journal.Client{Address: h.Settings.LogServiceAddress, HTTP: line.NewPlatformClient()}
	h.bulletin = h.newBulletin(log)
	h.referral = h.newReferral()
	h.rounds = h.newRounds()
	h.holder = h.newHolder(log)
	h.quota = h.newQuota()
	h.gate = &turnstile.Turnstile{
		MaxOpen: h.Settings.MaxOpenRequests,
		Quota:   h.quota,
	}
	h.runner = &visit.Runner{
		Picker:         h.referral,
		Claimer:        h.holder,
		Records:        h.writer(diary.Visit),
		Gauge:          h.measure,
		ProgressMillis: h.Settings.ProgressMillis,
		Partitions:     h.Settings.Partitions,
		Address:        h.Settings.PeerAddress,
		ConfigVersion:  h.bulletin.Version,
	}
}

func (h *Host) writer(part diary.Part) explanation.Writer {
	return explanation.Writer{Ring: h.ring, Process: h.Settings.Name, Part: string(part)}
}

// listeners holds the open sockets of the process.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (h *Host) listen(ctx context.Context) (listeners, error) {
	var open listeners
	var err error
	open.callers, err = line.Listen(ctx, h.Settings.CallerAddress)
	if err != nil {
		return open, err
	}
	open.peers, err = line.Listen(ctx, h.Settings.PeerAddress)
	if err != nil {
		return open, err
	}
	open.metrics, err = line.Listen(ctx, h.Settings.MetricsAddress)
	return open, err
}

func (h *Host) intake() *intake.Intake {
	return &intake.Intake{
		Runner:           h.runner,
		Turnstile:        h.gate,
		Configuration:    h.bulletin.Document,
		Explainer:        h.explain,
		Observer:         observer{measure: h.measure},
		KeyWindowSeconds: h.Settings.KeyWindowSeconds,
		MaxBodyBytes:     h.Settings.MaxBodyBytes,
		Leaving:          h.leaving.isSet,
	}
}

// handler serves the calls of other processes.
func (h *Host) handler() *drpcmux.Mux {
	mux := drpcmux.New()
	line.Must(message.DRPCRegisterEntry(mux, &entryCalls{holder: h.holder, quota: h.quota}))
	line.Must(message.DRPCRegisterPeer(mux, &peer.Peer{
		Exchanger: h.bulletin,
		Records:   h.records,
		State:     h.status,
		Leave:     h.leaving.set,
	}))
	return mux
}

// entryCalls serves what other entry hosts ask.
type entryCalls struct {
	holder *holder.Holder
	quota  *quota.Quota
}

// Claim binds a key in a partition that this host holds.
func (c *entryCalls) Claim(ctx context.Context, in *message.ClaimRequest) (*message.ClaimReply, error) {
	return c.holder.HandleClaim(ctx, in)
}

// Meter takes a sample of an account whose home is this host.
func (c *entryCalls) Meter(_ context.Context, in *message.MeterRequest) (*message.MeterReply, error) {
	return c.quota.HandleMeter(in, time.Now()), nil
}

func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", h.measure.Handler())
	return mux
}

func (h *Host) status() peer.Status {
	return peer.Status{
		Name:          h.Settings.Name,
		Role:          hostlist.RoleEntry,
		Region:        h.Settings.Region,
		Zone:          h.Settings.Zone,
		Version:       h.Version,
		ConfigVersion: h.bulletin.Version(),
		Leaving:       h.leaving.isSet(),
		OpenRequests:  h.gate.Open(),
		Hosts:         h.hostStatus(time.Now()),
	}
}

// records returns the decision records of a request: those of this host and
// those of the backend servers that it was routed to.
func (h *Host) records(ctx context.Context, id string) []explanation.Record {
	own := h.ring.Find(id)
	all := own
	asked := make(map[string]bool)
	for _, record := range own {
		routed, ok := record.Decision.(explanation.Routed)
		if !ok || asked[routed.Backend] {
			continue
		}
		asked[routed.Backend] = true
		all = append(all, h.backendRecords(ctx, routed.Backend, id)...)
	}
	return all
}

// explainMillis bounds the question to one backend server.
const explainMillis = 1000

func (h *Host) backendRecords(ctx context.Context, backend, id string) []explanation.Record {
	member, known := h.roster.Snapshot().Find(backend)
	if !known {
		return nil
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(explainMillis*time.Millisecond))
	defer stop()
	held, err := peer.AskRecords(ctx, member.Host.PeerAddress, id)
	if err != nil {
		diary.For(h.Log, diary.Peer).Warn("records not read", "Backend", backend, "Cause", err)
	}
	return held
}

// explain returns the records as JSON for callers.
func (h *Host) explain(ctx context.Context, id string) ([]byte, bool) {
	records := h.records(ctx, id)
	if len(records) == 0 {
		return nil, false
	}
	text, err := json.Marshal(records)
	return text, err == nil
}

// drain waits for the end of the lifetime, then for the open requests.
func (h *Host) drain(ctx context.Context, life lifetime.Lifetime) error {
	log := diary.For(h.Log, diary.Process)
	log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress, "Peer", h.Settings.PeerAddress)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-life.Drain.Done():
	}
	h.leaving.set()
	h.rounds.Announce(ctx)
	log.Info("draining", "Open", h.gate.Open())
	cut := life.Finish(h.gate.Open, lifetime.DrainDeadline(h.Settings.DrainSeconds))
	if cut > 0 {
		log.Warn("cut by the drain deadline or a second signal", "Open", cut)
		return nil
	}
	log.Info("drained")
	return nil
}
