package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// platformRevokeMillis and platformApplyMillis are the settings RevokeMillis
	// and ApplyMillis: the bounds for accepting a removed key and for applying a
	// configuration change.
	platformRevokeMillis = 2500
	platformApplyMillis  = 2000
	// platformPeerPort is the port on which entry hosts reach the monitors of engines.
	platformPeerPort = 19500

	platformKey   = "key-of-jarun-hall"
	platformHost  = "desk.example"
	streamPath    = "/draft/"
	resumablePath = "/check/"
	oncePath      = "/book/"
	plainPath     = "/look/"
)

// platformSite is a deployment on the direct path: entry hosts speak to backend
// servers themselves, and read the configuration and the server entries from a
// stand-in of the platform's store.
type platformSite struct {
	t             *testing.T
	directory     string
	pool          *addressPool
	log           *keyedlog.Log
	entry         *program
	settings      process.DirectEntry
	engines       []*platformEngine
	plainServices []*replica.Replica
	// group holds the handles of runs that are copied between the engines.
	group replica.Group
	// version is the version of the configuration that was written last.
	version int
	// sequence is the sequence number of the server entry that was written last.
	sequence atomic.Int64
}

// platformEngine is an engine with its monitor, the process beside it.
type platformEngine struct {
	*replica.Replica
	monitor *program
	// number is the index of the engine in its deployment.
	number int
	// registeredAddress is the address in the store entry; empty means the
	// engine's own address.
	registeredAddress string
	// monitorFault is locked while a fault affects the monitor, shutdownFault while
	// the engine shuts down and restarts.
	monitorFault, shutdownFault sync.Mutex
}

// newPlatformStore starts the store of a deployment and reserves slots for the given
// number of processes.
func newPlatformStore(t *testing.T, processes int64) *platformSite {
	t.Helper()
	if err := processSlots.Acquire(context.Background(), processes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processSlots.Release(processes) })
	s := &platformSite{t: t, directory: t.TempDir(), pool: newAddressPool(t), log: &keyedlog.Log{}}
	s.serve(func(ctx context.Context) error { return s.log.Serve(ctx, s.pool.ip+":0", s.log.Routes()) })
	s.log.Addr()
	return s
}

// newPlatformSite starts a deployment with one entry host and waits until the entry
// host is ready.
func newPlatformSite(t *testing.T, engines, plainServices int) *platformSite {
	t.Helper()
	return newAdjustedSite(t, engines, plainServices, func(*process.DirectEntry) {})
}

// newAdjustedSite is like newPlatformSite, with adjusted settings of the entry host.
func newAdjustedSite(t *testing.T, engines, plainServices int, adjust func(*process.DirectEntry)) *platformSite {
	t.Helper()
	s := newPlatformStore(t, int64(1+engines))
	for n := range engines {
		s.addEngine(n)
	}
	s.addPlainServices(plainServices)
	s.configure(platformKey)
	s.settings = s.entrySettings("entry")
	adjust(&s.settings)
	s.startEntry()
	eventually(t, "entry host ready", s.ready)
	return s
}

// addPlainServices starts and registers backend servers of the plain service.
func (s *platformSite) addPlainServices(count int) {
	for n := range count {
		server := s.newReplica(fmt.Sprintf("desk-%d", n), s.pool.ip)
		s.plainServices = append(s.plainServices, server)
		s.register(server, "plain", "ready")
	}
}

// serve runs a stand-in until the test ends.
func (s *platformSite) serve(run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return run(ctx) })
	s.t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			s.t.Errorf("stand-in failed: %v", err)
		}
	})
}

// newReplica starts a backend server on a port that the kernel assigns, so that no
// other process can take the port first.
func (s *platformSite) newReplica(id, ip string) *replica.Replica {
	r := &replica.Replica{ID: id, Group: &s.group}
	s.serve(func(ctx context.Context) error { return r.Serve(ctx, ip+":0", r.Routes()) })
	r.Addr()
	return r
}

// addEngine starts an engine and its monitor on an IP address of their own, and
// registers the engine.
func (s *platformSite) addEngine(number int) *platformEngine {
	pool := newAddressPool(s.t)
	e := &platformEngine{Replica: s.newReplica(fmt.Sprintf("engine-%d", number), pool.ip), number: number}
	settings := s.monitorSettings(e, pool.ip)
	e.monitor = newProgram(s.t, "monitor-"+e.ID, "direct-backend", s.write("monitor-"+e.ID, settings))
	e.monitor.start()
	s.engines = append(s.engines, e)
	s.register(e.Replica, "engines", "ready")
	return e
}

// monitorSettings returns the settings of the monitor of an engine.
func (s *platformSite) monitorSettings(e *platformEngine, ip string) process.DirectBackend {
	return process.DirectBackend{
		Name:            e.ID,
		Zone:            "a",
		HostAddress:     ip,
		PeerPort:        platformPeerPort,
		MetricsPort:     platformPeerPort + 1,
		EngineAddress:   e.Addr(),
		MemoryMegabytes: 200,
		GraceSeconds:    4,
	}
}

// entrySettings returns the settings of an entry host with newly allocated
// addresses.
func (s *platformSite) entrySettings(name string) process.DirectEntry {
	return process.DirectEntry{
		Name:               name,
		Zone:               "a",
		CallerAddress:      s.pool.next(),
		ReadyAddress:       s.pool.next(),
		ControlAddress:     s.pool.next(),
		Readers:            []string{},
		HostAddress:        s.pool.ip,
		PeerPort:           platformPeerPort,
		MetricsPort:        platformPeerPort + 1,
		StoreAddress:       s.log.Addr(),
		MemoryMegabytes:    200,
		GraceSeconds:       4,
		RevokeMillis:       platformRevokeMillis,
		ApplyMillis:        platformApplyMillis,
		RetryRatio:         0.2,
		RetrySlack:         50,
		RetryWindowSeconds: 10,
	}
}

// write writes settings to a file and returns its path.
func (s *platformSite) write(name string, settings any) string {
	data, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// register writes the store entry of a backend server.
func (s *platformSite) register(r *replica.Replica, service, state string) {
	s.registerIn(s.log, r, service, state)
}

// registerIn writes the entry of a backend server to the given store.
func (s *platformSite) registerIn(log *keyedlog.Log, r *replica.Replica, service, state string) {
	log.Put("keyed.servers", r.ID, s.serverEntry(r, service, "a", state))
}

// serverEntry returns the next store entry of a backend server.
func (s *platformSite) serverEntry(r *replica.Replica, service, zone, state string) []byte {
	address := r.Addr()
	for _, e := range s.engines {
		if e.Replica == r && e.registeredAddress != "" {
			address = e.registeredAddress
		}
	}
	const format = `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":24,"state":%q,"cold_ms":0,"seq":%d,"born":%d}`
	return fmt.Appendf(nil, format, service, address, zone, state, s.sequence.Add(1), r.Born())
}

// configure writes the next version of the configuration, with the given API keys.
func (s *platformSite) configure(keys ...string) {
	s.version++
	s.log.Put("keyed.op", "config", []byte(platformConfiguration(s.version, keys)))
}

// platformConfiguration returns a configuration with one route of each kind.
func platformConfiguration(version int, keys []string) string {
	route := func(path, kind, service string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":"r%s","host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":8000,"slo_ms":1500,`+
			`"priority":0,"service":%q,"max_attempts":%d,"public":false,"resumable":%t,"gap_aim_ms":180}`,
			strings.Trim(path, "/"), platformHost, path, kind, service, attempts, resumable)
	}
	routes := strings.Join([]string{
		route(streamPath, "streaming", "engines", 1, false),
		route(resumablePath, "streaming", "engines", 2, true),
		route(oncePath, "unsafe", "plain", 1, false),
		route(plainPath, "safe", "plain", 2, false),
	}, ",")
	list, _ := json.Marshal(keys)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[`+
		`{"name":"engines","engine":{"slots":24,"kv_capacity":34000,"kv_token_bytes":131072,"moves":true}},{"name":"plain"}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"jarun-hall","api_keys":%s,"priority":1}]}`, version, routes, list)
}

// startEntry starts or restarts the entry host.
func (s *platformSite) startEntry() {
	s.t.Helper()
	if s.entry == nil {
		s.entry = newProgram(s.t, "entry", "direct-entry", s.write("entry", s.settings))
	}
	s.entry.start()
}

// ready returns an error unless the entry host reports that it is ready.
func (s *platformSite) ready() error {
	return readyAt(s.settings.ReadyAddress)
}

// readyAt returns an error unless the readiness endpoint at the address answers 200.
func readyAt(address string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("readiness endpoint at %s answered %d, want 200", address, answer.StatusCode)
	}
	return nil
}

// arrivals returns the requests that reached any engine or plain service.
func (s *platformSite) arrivals() []replica.Arrival {
	var all []replica.Arrival
	for _, e := range s.engines {
		all = append(all, e.Arrivals()...)
	}
	for _, d := range s.plainServices {
		all = append(all, d.Arrivals()...)
	}
	return all
}

// activeEngine waits for an engine that runs a stream and returns it.
func (s *platformSite) activeEngine() *platformEngine {
	s.t.Helper()
	var found *platformEngine
	eventually(s.t, "an engine runs a stream", func() error {
		for _, e := range s.engines {
			if e.Running() > 0 {
				found = e
				return nil
			}
		}
		return fmt.Errorf("no engine runs a stream")
	})
	return found
}

// streamInBackground sends a request for a stream and returns a function that waits for its reply.
func (s *platformSite) streamInBackground(id, target string, events int) (await func() callerReply) {
	request := streamRequest(id, events)
	request.target = target
	return s.sendInBackground(request)
}

// sendInBackground sends a request and returns a function that waits for the reply.
func (s *platformSite) sendInBackground(r callerRequest) (await func() callerReply) {
	s.t.Helper()
	var group errgroup.Group
	var got callerReply
	group.Go(func() error {
		got = s.send(context.Background(), r)
		return nil
	})
	return func() callerReply {
		_ = group.Wait()
		return got
	}
}

// setOthersFaults sets the faults of the engines other than e.
func (s *platformSite) setOthersFaults(e *platformEngine, f replica.Faults) {
	for _, other := range s.engines {
		if other != e {
			other.SetFaults(f)
		}
	}
}

// countRuns counts the arrivals that started a run, and those that continued one from its copy.
func (s *platformSite) countRuns() (started, continued int) {
	for _, a := range s.arrivals() {
		if a.Header.Get("Kv-From") == "" {
			started++
		} else {
			continued++
		}
	}
	return started, continued
}
