package endtoend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Proportions of the fleet that the capacity target names.
const (
	// fleetEntries of every fleetEntriesPer hosts are entry hosts, as 360 of
	// 1,260 are in the target.
	fleetEntries    = 2
	fleetEntriesPer = 7
	fleetZones      = 8
	fleetRegions    = 3
	// fleetPort is the port of every host of a fleet.
	fleetPort = 18999
	// maxReportedPrefixes is the largest number of prompt prefixes that a load
	// report names.
	maxReportedPrefixes = 8
)

// simulatedFleet is a fleet whose hosts only answer load probes and configuration
// version exchanges.
type simulatedFleet struct {
	hosts []hostlist.Host
	// entries is the number of entry hosts among the hosts.
	entries int
}

// newSimulatedFleet returns a fleet of size hosts. Each has its own loopback IP
// address within 127.network.0.0/16.
func newSimulatedFleet(size, network int) *simulatedFleet {
	f := &simulatedFleet{}
	for n := range size {
		host := hostlist.Host{
			Region:      fmt.Sprintf("region-%d", n%fleetZones%fleetRegions),
			Zone:        fmt.Sprintf("zone-%d", n%fleetZones),
			PeerAddress: fmt.Sprintf("127.%d.%d.%d:%d", network, n/200, 1+n%200, fleetPort),
			State:       hostlist.StateLive,
		}
		if n*fleetEntries%fleetEntriesPer < fleetEntries {
			host.Name, host.Role = fmt.Sprintf("entry-%04d", n), hostlist.RoleEntry
			f.entries++
		} else {
			model := n%targetModels + 1
			host.Name, host.Role = fmt.Sprintf("backend-%04d", n), hostlist.RoleBackend
			host.Model, host.Service = fmt.Sprintf("model-%d", model), fmt.Sprintf("service-%d", model)
		}
		f.hosts = append(f.hosts, host)
	}
	return f
}

// backends returns the number of backend servers.
func (f *simulatedFleet) backends() int { return len(f.hosts) - f.entries }

// exchangesPerSecond returns the rate at which an entry host receives version
// exchanges. In each exchange period, every other entry host picks one of all
// hosts, and every process beside a backend server picks one of the entry hosts.
func (f *simulatedFleet) exchangesPerSecond() float64 {
	perPeriod := float64(f.entries)/float64(len(f.hosts)) + float64(f.backends())/float64(f.entries)
	return perPeriod * 1000 / configversion.DefaultExchangePeriodMillis
}

// Run serves all hosts until ctx ends.
func (f *simulatedFleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for n, host := range f.hosts {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", host.PeerAddress)
		if err != nil {
			return err
		}
		responder := &fleetHost{name: host.Name, incarnation: uint64(n + 1)}
		mux := drpcmux.New()
		transport.Must(message.DRPCRegisterBackend(mux, responder))
		transport.Must(message.DRPCRegisterPeer(mux, &peer.Peer{Exchanger: responder}))
		server := &transport.Server{Listener: listener, Handler: mux}
		group.Go(func() error { return server.Run(ctx) })
	}
	return group.Wait()
}

// fleetHost answers the calls to one host of the fleet.
type fleetHost struct {
	message.DRPCBackendUnimplementedServer
	name        string
	incarnation uint64
}

// Probe returns a load report of typical size.
func (h *fleetHost) Probe(context.Context, *message.ProbeRequest) (*message.Load, error) {
	load := &message.Load{
		Backend: h.name, Incarnation: h.incarnation<<40 + 1<<62, Running: 97, Waiting: 3,
		MemoryPermille: 700, ForecastPermille: 800, ConfigVersion: 1,
	}
	for n := range maxReportedPrefixes {
		load.Prefixes = append(load.Prefixes, 1<<62+uint64(n))
	}
	return load, nil
}

// HandleExchange returns version 1, so that no host has to transfer a newer
// version.
func (h *fleetHost) HandleExchange(context.Context, *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return &message.ExchangeReply{Version: 1}, nil
}

// measureFleet measures an idle entry host in fleets of several sizes.
func measureFleet(t *testing.T) {
	for n, size := range []int{100, 400, 1260} {
		t.Run("", func(t *testing.T) { measureFleetOf(t, size, 200+n) })
	}
}

func measureFleetOf(t *testing.T, size, network int) {
	f := newSimulatedFleet(size, network)
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	log, list := d.pool.next(), d.pool.next()
	d.servePlatform(log, list, f.hosts)
	d.serve(f)
	d.publish()
	d.addEntry(0, log, list, func(s *process.Entry) { s.Region, s.Zone = "region-0", "zone-0" })
	e := d.entries[0]
	e.start()
	eventually(t, "entry host knows the fleet", func() error {
		status, err := queryStatus(e.settings.PeerAddress)
		if err == nil && len(status.Hosts) < size {
			err = fmt.Errorf("entry host knows %d of %d hosts", len(status.Hosts), size)
		}
		return err
	})
	time.Sleep(2 * settleSeconds * time.Second)
	begin := e.readUsage(e.settings.MetricsAddress, true)
	received := exchangeAtRate(t, e.settings.PeerAddress, f.exchangesPerSecond(), idleSeconds)
	s := e.readUsage(e.settings.MetricsAddress, false).since(begin)
	t.Logf("%d hosts: %.2f%% of a core, %d KB resident, heap %d KB; opened %.1f calls/s with %.0f B/s; answered %.1f exchanges/s with %.0f B/s; platform traffic %.0f B/s",
		size, s.cpuPercent, s.residentBytes>>10, s.heapBytes>>10, s.controlCalls, s.control, received.calls, received.bytes, s.platform)
}
