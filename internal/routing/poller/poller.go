// Package poller keeps the membership table of one entry host fresh: it registers the
// host, reads the platform's lagging list, and probes a bounded subset of the
// backend servers whose load no reply has told lately.
package poller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// listMillis is the shortest period at which the list is read.
	listMillis = 2000
	// listHostBytes is the usual size of one host in the list.
	listHostBytes = 160
	// listBytesPerSecond bounds what reading the list costs on average. What a
	// long list tells late, refusals and replies tell at once.
	listBytesPerSecond = 1000
	// registerMillis is the shortest period at which a host registers, and
	// registerHostMillis what each listed host adds to it, so that all hosts
	// together register at most 20 times a second. Changes of state are told at
	// once.
	registerMillis     = 5000
	registerHostMillis = 50
	// probeMillis is the period of probes, and the age at which a load is old.
	probeMillis = 1000
	// probesPerPeriod bounds the probes of one period: the oldest loads go
	// first, and replies that flow anyway refresh the rest.
	probesPerPeriod = 4
	// requestTimeoutMillis bounds one question to the platform or a backend server.
	requestTimeoutMillis = 1000
	// jitterShare is the random part of a period, so that hosts do not act in step.
	jitterShare = 0.2
)

// Poller runs beside one entry host. Its fields must be set before Run.
type Poller struct {
	// Self returns the host as it registers itself.
	Self  func() hostlist.Host
	Hosts *hostlist.Client
	// Watched returns the backend servers that the host routes to.
	Watched func() []membership.Member
	Members *membership.Table
	// Observe takes the load that a probe brought.
	Observe func(load *message.Load, askedAt, now time.Time)
	// SetRequester fills the fields of a probe that name this process.
	SetRequester func(*message.ProbeRequest)
	Log          *slog.Logger
}

// Run works until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, p.listPeriodMillis, p.readList) })
	group.Go(func() error { return runPeriodically(ctx, p.registerPeriodMillis, p.Register) })
	group.Go(func() error { return runPeriodically(ctx, constant(probeMillis), p.probeOldest) })
	return group.Wait()
}

// ListPeriodMillis returns the period at which a list of so many hosts is read
// when its reading may cost the given bytes a second.
func ListPeriodMillis(hosts, bytesPerSecond int) int {
	const millisPerSecond = 1000
	return hosts * listHostBytes * millisPerSecond / bytesPerSecond
}

// RegisterPeriodMillis returns the period at which a host registers in a list
// of so many hosts.
func RegisterPeriodMillis(hosts int) int {
	return max(registerMillis, hosts*registerHostMillis)
}

func (p *Poller) registerPeriodMillis() int {
	return RegisterPeriodMillis(p.Members.Snapshot().Len())
}

func (p *Poller) listPeriodMillis() int {
	return max(listMillis, ListPeriodMillis(p.Members.Snapshot().Len(), listBytesPerSecond))
}

func constant(millis int) func() int {
	return func() int { return millis }
}

// runPeriodically calls work now and then with a jittered period, until ctx ends.
func runPeriodically(ctx context.Context, millis func() int, work func(context.Context)) error {
	for {
		work(ctx)
		jitter := 1 - jitterShare/2 + jitterShare*rand.Float64()
		next := time.Now().Add(time.Duration(float64(millis())*jitter) * time.Millisecond)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// Register registers the host in the platform's list, as best it can.
func (p *Poller) Register(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	if err := p.Hosts.Register(ctx, p.Self()); err != nil && ctx.Err() == nil {
		p.Log.Warn("not registered", "Cause", err)
	}
}

// readList merges the platform's list into the membership table. Without an answer the
// table stays as it is.
func (p *Poller) readList(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	listed, err := p.Hosts.Hosts(ctx)
	if err != nil {
		p.Log.Warn("list not read", "Cause", err)
		return
	}
	hosts := make([]membership.Host, 0, len(listed))
	for _, h := range listed {
		hosts = append(hosts, hostOf(h))
	}
	if err := p.Members.ApplyList(hosts, time.Now()); err != nil {
		p.Log.Warn("list not applied", "Cause", err)
	}
}

func hostOf(h hostlist.Host) membership.Host {
	return membership.Host{
		Name:             h.Name,
		Role:             membership.Role(h.Role),
		Region:           h.Region,
		AvailabilityZone: h.Zone,
		PeerAddress:      h.PeerAddress,
		Model:            h.Model,
		Service:          h.Service,
		State:            membership.HostState(h.State),
	}
}

// probeOldest asks the watched backend servers whose load is the oldest.
func (p *Poller) probeOldest(ctx context.Context) {
	now := time.Now()
	var group errgroup.Group
	for _, m := range oldest(p.Watched(), now, probesPerPeriod) {
		group.Go(func() error {
			p.probe(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// oldest returns at most limit members whose load is old, the oldest first.
// Members that were never heard from come before all others.
func oldest(watched []membership.Member, now time.Time, limit int) []membership.Member {
	var old []membership.Member
	for _, m := range watched {
		age, seen := m.Age(now)
		if !m.Suspect(now) && (!seen || age >= probeMillis*time.Millisecond) {
			old = append(old, m)
		}
	}
	slices.SortStableFunc(old, func(a, b membership.Member) int {
		return a.SeenAt.Compare(b.SeenAt)
	})
	return old[:min(limit, len(old))]
}

func (p *Poller) probe(ctx context.Context, m membership.Member) {
	askedAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, askedAt.Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	request := &message.ProbeRequest{}
	p.SetRequester(request)
	load, err := transport.CallPooled(ctx, m.Host.PeerAddress,
		func(ctx context.Context, conn drpc.Conn) (*message.Load, error) {
			return message.NewDRPCBackendClient(conn).Probe(ctx, request)
		})
	now := time.Now()
	if err != nil {
		// A host that the list has dropped meanwhile needs no mark.
		_ = p.Members.DialFailed(m.Host.Name, now)
		return
	}
	p.Observe(load, askedAt, now)
}
