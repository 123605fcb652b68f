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

// Shape of the target's fleet.
const (
	// fleetEntries of fleetPart hosts are entry hosts, as 360 of 1,260 are.
	fleetEntries    = 2
	fleetEntriesPer = 7
	fleetZones      = 8
	fleetRegions    = 3
	// fleetPort is the port of every host of a fleet.
	fleetPort = 18999
	// maxReportedPrefixes is the most that a load names.
	maxReportedPrefixes = 8
)

// simulatedFleet is a fleet whose hosts answer probes and version exchanges, and
// do nothing else.
type simulatedFleet struct {
	hosts []hostlist.Host
	// entries counts the entry hosts among them.
	entries int
}

// newSimulatedFleet makes so many hosts, each with a loopback IP number of its own.
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

// backends counts the backend servers.
func (f *simulatedFleet) backends() int { return len(f.hosts) - f.entries }

// exchangesPerSecond returns how often an entry host is asked to compare
// versions: other entry hosts pick among all hosts, and processes beside backend
// servers among the entry hosts.
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
		answerer := &fleetHost{name: host.Name, incarnation: uint64(n + 1)}
		mux := drpcmux.New()
		transport.Must(message.DRPCRegisterBackend(mux, answerer))
		transport.Must(message.DRPCRegisterPeer(mux, &peer.Peer{Exchanger: answerer}))
		server := &transport.Server{Listener: listener, Handler: mux}
		group.Go(func() error { return server.Run(ctx) })
	}
	return group.Wait()
}

// fleetHost answers for one host.
type fleetHost struct {
	message.DRPCBackendUnimplementedServer
	name        string
	incarnation uint64
}

// Probe answers with a load of the usual size.
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

// HandleExchange answers with the same version.
func (h *fleetHost) HandleExchange(context.Context, *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return &message.ExchangeReply{Version: 1}, nil
}

// measureFleet measures an entry host without load in fleets of several sizes.
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
	eventually(t, "the fleet is listed", func() error {
		status, err := queryStatus(e.settings.PeerAddress)
		if err == nil && len(status.Hosts) < size {
			err = fmt.Errorf("%d hosts known", len(status.Hosts))
		}
		return err
	})
	time.Sleep(2 * settleSeconds * time.Second)
	begin := e.readUsage(e.settings.MetricsAddress, true)
	asked := exchangeAtRate(t, e.settings.PeerAddress, f.exchangesPerSecond(), idleSeconds)
	s := e.readUsage(e.settings.MetricsAddress, false).since(begin)
	t.Logf("%d hosts: %.2f%% of a core, %d KB, heap %d KB; opened %.1f calls/s with %.0f B/s; answered %.1f exchanges/s with %.0f B/s; platform %.0f B/s",
		size, s.cpuPercent, s.residentBytes>>10, s.heapBytes>>10, s.controlCalls, s.control, asked.calls, asked.bytes, s.platform)
}
