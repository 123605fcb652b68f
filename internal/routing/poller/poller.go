// Package poller keeps the membership table of one entry host up to date: it
// registers the host, reads the platform's host list, which lags, and probes a
// bounded subset of the backend servers without a recent load report.
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
	// listMillis is the minimum period at which the host list is read.
	listMillis = 2000
	// listHostBytes is the typical size of one host in the host list.
	listHostBytes = 160
	// listBytesPerSecond limits the average traffic of reading the host list, so a
	// long list is read less often. That delay is acceptable because refusals and
	// replies report changes immediately.
	listBytesPerSecond = 1000
	// registerMillis is the minimum period at which a host registers, and
	// registerHostMillis the minimum for each listed host, so that all hosts
	// together register at most 20 times per second. A change of state is
	// registered immediately.
	registerMillis     = 5000
	registerHostMillis = 50
	// probeMillis is the period of probes, and the age from which a load report
	// counts as stale.
	probeMillis = 1000
	// probesPerPeriod is the maximum number of probes in one period. The oldest
	// load reports are refreshed first; replies to requests refresh the others.
	probesPerPeriod = 4
	// requestTimeoutMillis is the timeout of one request to the platform or a
	// backend server.
	requestTimeoutMillis = 1000
	// jitterShare is the random share of a period, which keeps hosts from acting
	// simultaneously.
	jitterShare = 0.2
)

// Poller runs in the process of one entry host. Its fields must be set before Run.
type Poller struct {
	// Self returns the host as it registers itself.
	Self func() hostlist.Host
	// Hosts is the client of the platform's host list.
	Hosts *hostlist.Client
	// Watched returns the backend servers that the host routes to.
	Watched func() []membership.Member
	// Members is the membership table of the host.
	Members *membership.Table
	// Observe receives the load that a probe returned. The probe was sent at
	// requestedAt.
	Observe func(load *message.Load, requestedAt, now time.Time)
	// SetRequester sets the fields of a probe that describe this process.
	SetRequester func(*message.ProbeRequest)
	Log          *slog.Logger
}

// Run registers the host, reads the host list and probes periodically until ctx
// ends.
func (p *Poller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, p.listPeriodMillis, p.readList) })
	group.Go(func() error { return runPeriodically(ctx, p.registerPeriodMillis, p.Register) })
	group.Go(func() error { return runPeriodically(ctx, constant(probeMillis), p.probeOldest) })
	return group.Wait()
}

// ListPeriodMillis returns the period, in milliseconds, at which a host list with
// the given number of hosts is read so that its average traffic is bytesPerSecond.
func ListPeriodMillis(hosts, bytesPerSecond int) int {
	const millisPerSecond = 1000
	return hosts * listHostBytes * millisPerSecond / bytesPerSecond
}

// RegisterPeriodMillis returns the period, in milliseconds, at which a host
// registers in a host list with the given number of hosts.
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

// runPeriodically calls work immediately and then with a jittered period until ctx
// ends.
func runPeriodically(ctx context.Context, periodMillis func() int, work func(context.Context)) error {
	for {
		work(ctx)
		jitter := 1 - jitterShare/2 + jitterShare*rand.Float64()
		next := time.Now().Add(time.Duration(float64(periodMillis())*jitter) * time.Millisecond)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// Register registers the host in the platform's host list. It is best effort: a
// failure is logged only.
func (p *Poller) Register(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	if err := p.Hosts.Register(ctx, p.Self()); err != nil && ctx.Err() == nil {
		p.Log.Warn("registration in the host list failed", "Cause", err)
	}
}

// readList merges the platform's host list into the membership table. If the list
// cannot be read, the table stays unchanged.
func (p *Poller) readList(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	listed, err := p.Hosts.Hosts(ctx)
	if err != nil {
		p.Log.Warn("reading the host list failed", "Cause", err)
		return
	}
	hosts := make([]membership.Host, 0, len(listed))
	for _, h := range listed {
		hosts = append(hosts, hostOf(h))
	}
	if err := p.Members.ApplyList(hosts, time.Now()); err != nil {
		p.Log.Warn("host list not applied to the membership table", "Cause", err)
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

// probeOldest probes the watched backend servers with the oldest load reports.
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

// oldest returns at most limit members whose load report is stale, the oldest
// first. Members that have never replied come before all others.
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
	requestedAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, requestedAt.Add(requestTimeoutMillis*time.Millisecond))
	defer stop()
	request := &message.ProbeRequest{}
	p.SetRequester(request)
	load, err := transport.CallPooled(ctx, m.Host.PeerAddress,
		func(ctx context.Context, conn drpc.Conn) (*message.Load, error) {
			return message.NewDRPCBackendClient(conn).Probe(ctx, request)
		})
	now := time.Now()
	if err != nil {
		// The error only means that the host list has dropped the host meanwhile.
		_ = p.Members.DialFailed(m.Host.Name, now)
		return
	}
	p.Observe(load, requestedAt, now)
}
