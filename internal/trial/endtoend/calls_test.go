package endtoend

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// inboundRate holds the calls and bytes per second that a process received.
type inboundRate struct {
	calls, bytes float64
}

// exchangeAtRate sends configuration version exchanges to a process at an even
// rate.
func exchangeAtRate(t *testing.T, address string, perSecond float64, seconds int) inboundRate {
	request := &message.ExchangeRequest{Name: "127.201.1.1:18999", Version: 1}
	return callAtRate(t, address, perSecond, seconds, func(ctx context.Context, conn drpc.Conn) error {
		_, err := message.NewDRPCPeerClient(conn).Exchange(ctx, request)
		return err
	})
}

// callAtRate sends calls to a process at an even rate and returns the rate that
// was reached.
func callAtRate(t *testing.T, address string, perSecond float64, seconds int, call func(context.Context, drpc.Conn) error) inboundRate {
	t.Helper()
	begin, before := time.Now(), transport.Control.Counts()
	endAt := begin.Add(time.Duration(seconds) * time.Second)
	var group errgroup.Group
	for dueAt := begin; dueAt.Before(endAt); dueAt = dueAt.Add(time.Duration(float64(time.Second) / perSecond)) {
		time.Sleep(time.Until(dueAt))
		group.Go(func() error {
			ctx, stop := context.WithDeadline(context.Background(), waitDeadline())
			defer stop()
			_, err := transport.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (struct{}, error) {
				return struct{}{}, call(ctx, conn)
			})
			return err
		})
	}
	time.Sleep(time.Until(endAt))
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	after, took := transport.Control.Counts(), time.Since(begin).Seconds()
	bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	return inboundRate{calls: float64(after.Connections-before.Connections) / took, bytes: float64(bytes) / took}
}

// controlCall is one kind of call between processes that carries no data of
// callers.
type controlCall struct {
	name string
	// process receives the calls at address and serves its metrics at metrics.
	process *program
	address string
	metrics string
	call    func(context.Context, drpc.Conn) error
}

// measureCalls measures the cost of each kind of control call at an entry host
// and at the process beside a backend server.
func measureCalls(t *testing.T) {
	r := newRig(t, tokenIntervalMillis)
	entry, backend := r.entry, r.backend
	probe := &message.ProbeRequest{ConfigVersion: 1, Asker: entry.settings.PeerAddress}
	compare := &message.ExchangeRequest{Name: entry.settings.PeerAddress, Version: 1}
	sample := &message.MeterRequest{Account: accountName(1), Weight: 4}
	for _, c := range []controlCall{
		{
			"probe of a backend process", backend.program, backend.settings.PeerAddress, backend.settings.MetricsAddress,
			func(ctx context.Context, conn drpc.Conn) error {
				_, err := message.NewDRPCBackendClient(conn).Probe(ctx, probe)
				return err
			},
		},
		{
			"exchange with an entry host", entry.program, entry.settings.PeerAddress, entry.settings.MetricsAddress,
			func(ctx context.Context, conn drpc.Conn) error {
				_, err := message.NewDRPCPeerClient(conn).Exchange(ctx, compare)
				return err
			},
		},
		{
			"sample to an entry host", entry.program, entry.settings.PeerAddress, entry.settings.MetricsAddress,
			func(ctx context.Context, conn drpc.Conn) error {
				_, err := message.NewDRPCEntryClient(conn).Meter(ctx, sample)
				return err
			},
		},
	} {
		c.measure(t)
	}
}

// measure sends the call at several rates and logs the processor time per call, which
// is the slope of the processor time over the rate.
func (c controlCall) measure(t *testing.T) {
	var rates, cpu []float64
	for _, rate := range []float64{10, 50, 200} {
		begin := c.process.readUsage(c.metrics, true)
		received := callAtRate(t, c.address, rate, settleSeconds, c.call)
		s := c.process.readUsage(c.metrics, false).since(begin)
		rates, cpu = append(rates, received.calls), append(cpu, s.cpuPercent)
		t.Logf("%s: %.0f/s, %.2f%% of a core, %.0f B per call; the process opened %.1f calls/s with %.0f B/s of control traffic, %.0f B/s of platform traffic",
			c.name, received.calls, s.cpuPercent, received.bytes/received.calls, s.controlCalls, s.control, s.platform)
	}
	perCall, idle := slope(rates, cpu)
	t.Logf("%s: %.0f µs per call, %.2f%% of a core without calls", c.name, perCall*1e4, idle)
}
