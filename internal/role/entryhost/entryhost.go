// Package entryhost runs the process of one entry host.
package entryhost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

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
	open, err := h.listen(life.Cut)
	if err != nil {
		return err
	}
	log := diary.For(h.Log, diary.Process)
	log.Info("serving", "Name", h.Settings.Name, "Callers", h.Settings.CallerAddress, "Peer", h.Settings.PeerAddress)
	program := lifetime.Program{
		Life:         life,
		Log:          log,
		DrainSeconds: h.Settings.DrainSeconds,
		Leave:        h.leave,
		Open:         h.gate.Open,
	}
	server := &line.Server{Listener: open.peers, Handler: h.handler()}
	return program.Run(
		server.Run,
		line.HTTPServer{Listener: open.metrics, Handler: h.metricsHandler()}.Run,
		line.HTTPServer{Listener: open.callers, Handler: h.intake().Routes()}.Run,
		h.measure.Run,
		h.bulletin.Run,
		h.rounds.Run,
		h.holder.Run,
		h.quota.Run,
	)
}

// leave stops the admission of new requests and tells the platform's list.
func (h *Host) leave(ctx context.Context) {
	h.leaving.set()
	h.rounds.Announce(ctx)
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
	open.peers, err = line.ListenPeers(ctx, h.Settings.PeerAddress)
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
		HeartbeatMillis:  h.Settings.HeartbeatMillis,
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
