// Package rounds keeps the roster of one entry host fresh: it registers the
// host, reads the platform's lagging list, and probes a bounded subset of the
// backend servers whose load no reply has told lately.
package rounds

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/roster"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/line"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
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
	// askMillis bounds one question to the platform or a backend server.
	askMillis = 1000
	// spread is the random part of a period, so that hosts do not act in step.
	spread = 0.2
)

// Rounds runs beside one entry host. Its fields must be set before Run.
type Rounds struct {
	// Self returns the host as it registers itself.
	Self  func() hostlist.Host
	Hosts *hostlist.Client
	// Watched returns the backend servers that the host routes to.
	Watched func() []roster.Member
	Roster  *roster.Roster
	// Observe takes the load that a probe brought.
	Observe func(load *message.Load, askedAt, now time.Time)
	// Asker fills the fields of a probe that name this process.
	Asker func(*message.ProbeRequest)
	Log   *slog.Logger
}

// Run works until ctx ends.
func (r *Rounds) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, r.listPeriodMillis, r.readList) })
	group.Go(func() error { return every(ctx, r.registerPeriodMillis, r.Announce) })
	group.Go(func() error { return every(ctx, constant(probeMillis), r.probeOldest) })
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

func (r *Rounds) registerPeriodMillis() int {
	return RegisterPeriodMillis(r.Roster.Snapshot().Len())
}

func (r *Rounds) listPeriodMillis() int {
	return max(listMillis, ListPeriodMillis(r.Roster.Snapshot().Len(), listBytesPerSecond))
}

func constant(millis int) func() int {
	return func() int { return millis }
}

// every calls work now and then with a jittered period, until ctx ends.
func every(ctx context.Context, millis func() int, work func(context.Context)) error {
	for {
		work(ctx)
		jitter := 1 - spread/2 + spread*rand.Float64()
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

// Announce registers the host in the platform's list, as best it can.
func (r *Rounds) Announce(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(askMillis*time.Millisecond))
	defer stop()
	if err := r.Hosts.Register(ctx, r.Self()); err != nil && ctx.Err() == nil {
		r.Log.Warn("not registered", "Cause", err)
	}
}

// readList merges the platform's list into the roster. Without an answer the
// roster stays as it is.
func (r *Rounds) readList(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(askMillis*time.Millisecond))
	defer stop()
	listed, err := r.Hosts.Hosts(ctx)
	if err != nil {
		r.Log.Warn("list not read", "Cause", err)
		return
	}
	hosts := make([]roster.Host, 0, len(listed))
	for _, h := range listed {
		hosts = append(hosts, hostOf(h))
	}
	if err := r.Roster.ApplyList(hosts, time.Now()); err != nil {
		r.Log.Warn("list not applied", "Cause", err)
	}
}

func hostOf(h hostlist.Host) roster.Host {
	return roster.Host{
		Name:             h.Name,
		Role:             roster.Role(h.Role),
		Region:           h.Region,
		AvailabilityZone: h.Zone,
		PeerAddress:      h.PeerAddress,
		Model:            h.Model,
		Service:          h.Service,
		State:            roster.HostState(h.State),
	}
}

// probeOldest asks the watched backend servers whose load is the oldest.
func (r *Rounds) probeOldest(ctx context.Context) {
	now := time.Now()
	var group errgroup.Group
	for _, m := range oldest(r.Watched(), now, probesPerPeriod) {
		group.Go(func() error {
			r.probe(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
}

// oldest returns at most limit members whose load is old, the oldest first.
// Members that were never heard from come before all others.
func oldest(watched []roster.Member, now time.Time, limit int) []roster.Member {
	var old []roster.Member
	for _, m := range watched {
		age, seen := m.Age(now)
		if !m.Suspect(now) && (!seen || age >= probeMillis*time.Millisecond) {
			old = append(old, m)
		}
	}
	slices.SortStableFunc(old, func(a, b roster.Member) int {
		return a.SeenAt.Compare(b.SeenAt)
	})
	return old[:min(limit, len(old))]
}

func (r *Rounds) probe(ctx context.Context, m roster.Member) {
	askedAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, askedAt.Add(askMillis*time.Millisecond))
	defer stop()
	request := &message.ProbeRequest{}
	r.Asker(request)
	load, err := line.CallKept(ctx, m.Host.PeerAddress,
		func(ctx context.Context, conn drpc.Conn) (*message.Load, error) {
			return message.NewDRPCBackendClient(conn).Probe(ctx, request)
		})
	now := time.Now()
	if err != nil {
		// A host that the list has dropped meanwhile needs no mark.
		_ = r.Roster.DialFailed(m.Host.Name, now)
		return
	}
	r.Observe(load, askedAt, now)
}
