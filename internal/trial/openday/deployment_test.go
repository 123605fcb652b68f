package openday

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/edition"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/desk"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

const (
	region       = "zagreb"
	model        = "coach"
	memoryTokens = 50000
	// programsAtOnce bounds the processes of all deployments that run at once.
	programsAtOnce = 12
	// stepMillis is the engine's time for one token of each generation.
	stepMillis = 10
)

// places bounds the processes of parallel tests.
var places = semaphore.NewWeighted(programsAtOnce)

// layout says what a deployment consists of. Zero values mean the default.
type layout struct {
	entries int
	engines int
	desks   int
	// relayed puts a relay before the peer address of each backend server.
	relayed bool
	// unconfigured leaves out the operator file.
	unconfigured bool
	// stepMillis is the engine's step.
	stepMillis int
	// changeEntry and changeBackend change the settings of each process.
	changeEntry   func(*process.Entry)
	changeBackend func(*process.Backend)
}

// entryHost is one entry host.
type entryHost struct {
	*program
	settings process.Entry
}

// backendServer is one backend server with the process beside it.
type backendServer struct {
	*program
	settings process.Backend
	// relay stands before the peer address; nil without one.
	relay *relay
	// engine is nil for a plain service.
	engine *engine.Server
	// desk is nil for an engine.
	desk *desk.Server
}

// deployment is a running deployment with its stand-ins.
type deployment struct {
	t         *testing.T
	directory string
	pool      *addressPool
	site      *site.Site
	entries   []*entryHost
	backends  []*backendServer
}

// newDeployment starts a deployment and waits until it serves. It ends with
// the test.
func newDeployment(t *testing.T, l layout) *deployment {
	t.Helper()
	count := int64(l.entries + l.engines + l.desks)
	if err := places.Acquire(context.Background(), count); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { places.Release(count) })
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	d.prepare(l)
	d.serveSite(l)
	for _, b := range d.backends {
		b.start()
	}
	for _, e := range d.entries {
		e.start()
	}
	if l.unconfigured {
		d.waitListed()
		return d
	}
	d.apply()
	d.waitReady()
	return d
}

// prepare makes settings, relays and programs.
func (d *deployment) prepare(l layout) {
	log, list, front := d.pool.next(), d.pool.next(), d.pool.next()
	for n := range l.entries {
		d.addEntry(n, log, list, l.changeEntry)
	}
	for n := range l.engines {
		settings := d.backendSettings(fmt.Sprintf("coaching-%d", n+1), log, front)
		settings.Kind, settings.EngineAddress = process.KindEngine, d.pool.next()
		settings.Service, settings.Model = "coaching", model
		settings.MemoryTokens = memoryTokens
		d.addBackend(settings, l)
	}
	for n := range l.desks {
		settings := d.backendSettings(fmt.Sprintf("front-desk-%d", n+1), log, front)
		settings.Kind, settings.ServiceAddress = process.KindPlain, d.pool.next()
		settings.Service = "front-desk"
		d.addBackend(settings, l)
	}
	d.site = &site.Site{StepMillis: l.stepMillis}
	if l.stepMillis == 0 {
		d.site.StepMillis = stepMillis
	}
	for _, b := range d.backends {
		settings := b.settings
		settings.HostListAddress = list
		d.site.Backends = append(d.site.Backends, settings)
	}
	if err := d.site.Prepare(); err != nil {
		d.t.Fatal(err)
	}
	for _, b := range d.backends {
		b.engine = d.site.Engines[b.settings.Name]
		b.desk = d.site.Desks[b.settings.Name]
	}
}

func (d *deployment) addEntry(n int, log, list string, change func(*process.Entry)) {
	settings := process.DefaultEntry()
	settings.Name = fmt.Sprintf("entry-%d", n+1)
	settings.Region, settings.Zone = region, fmt.Sprintf("zagreb-%c", 'a'+n)
	settings.CallerAddress = d.pool.next()
	settings.PeerAddress = d.pool.next()
	settings.MetricsAddress = d.pool.next()
	settings.LogServiceAddress, settings.HostListAddress = log, list
	settings.Peers = []string{}
	if change != nil {
		change(&settings)
	}
	p := newProgram(d.t, settings.Name, "entry", d.writeSettings(settings.Name, settings))
	d.entries = append(d.entries, &entryHost{program: p, settings: settings})
}

func (d *deployment) backendSettings(name, log, list string) process.Backend {
	settings := process.DefaultBackend()
	settings.Name = name
	settings.Region, settings.Zone = region, "zagreb-a"
	settings.PeerAddress = d.pool.next()
	settings.MetricsAddress = d.pool.next()
	settings.LogServiceAddress, settings.HostListAddress = log, list
	settings.Peers = []string{}
	for _, e := range d.entries {
		settings.Peers = append(settings.Peers, e.settings.PeerAddress)
	}
	return settings
}

func (d *deployment) addBackend(settings process.Backend, l layout) {
	if l.changeBackend != nil {
		l.changeBackend(&settings)
	}
	p := newProgram(d.t, settings.Name, "backend", d.writeSettings(settings.Name, settings))
	b := &backendServer{program: p, settings: settings}
	if l.relayed {
		b.relay = newRelay(d.t, d.pool.next(), settings.PeerAddress)
	}
	d.backends = append(d.backends, b)
}

func (d *deployment) writeSettings(name string, settings any) string {
	text, err := json.Marshal(settings)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// serveSite runs the stand-ins until the test ends.
func (d *deployment) serveSite(l layout) {
	ctx, stop := context.WithCancel(context.Background())
	front := &serving.Listener{Handler: d.registrar()}
	if len(d.backends) > 0 {
		front.Address = d.backends[0].settings.HostListAddress
	}
	var group errgroup.Group
	group.Go(func() error { return d.site.Run(ctx) })
	group.Go(func() error { return front.Run(ctx) })
	d.t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			d.t.Errorf("stand-ins: %v", err)
		}
	})
}

// registrar serves the host list to the processes beside the backend servers.
// It registers them under the addresses of their relays.
func (d *deployment) registrar() http.Handler {
	list := d.site.HostList.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut {
			list.ServeHTTP(w, r)
			return
		}
		var host hostlist.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if b := d.backend(host.Name); b != nil && b.relay != nil {
			host.PeerAddress = b.relay.listener.Addr().String()
		}
		d.site.HostList.Put(host)
		w.WriteHeader(http.StatusNoContent)
	})
}

// backend finds a backend server by its name, or returns nil.
func (d *deployment) backend(name string) *backendServer {
	for _, b := range d.backends {
		if b.settings.Name == name {
			return b
		}
	}
	return nil
}

// apply publishes the operator file.
func (d *deployment) apply() {
	d.t.Helper()
	services, err := os.ReadFile(filepath.Join("testdata", "services.json"))
	if err != nil {
		d.t.Fatal(err)
	}
	data, err := edition.Encode(edition.Proposal{ID: "first", Author: "operator", Version: 1, Document: services})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.site.Journal.Append(context.Background(), edition.Stream, data); err != nil {
		d.t.Fatal(err)
	}
}

// waitReady waits until every process has the operator file and every entry
// host has heard from every backend server.
func (d *deployment) waitReady() {
	d.t.Helper()
	d.waitListed()
	for _, e := range d.entries {
		eventually(d.t, e.name+" is configured", func() error { return configured(e.settings.PeerAddress) })
	}
	for _, b := range d.backends {
		eventually(d.t, b.name+" is configured", func() error { return configured(b.settings.PeerAddress) })
	}
}

// waitListed waits until every entry host has heard from every backend server.
func (d *deployment) waitListed() {
	d.t.Helper()
	for _, e := range d.entries {
		eventually(d.t, e.name+" knows the backend servers", func() error { return d.knowsAll(e) })
	}
}

func (d *deployment) knowsAll(e *entryHost) error {
	status, err := askStatus(e.settings.PeerAddress)
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, h := range status.Hosts {
		seen[h.Name] = h.AgeMillis >= 0
	}
	for _, b := range d.backends {
		if !seen[b.settings.Name] {
			return errors.Newf("nothing heard from %s", b.settings.Name)
		}
	}
	return nil
}

func configured(address string) error {
	status, err := askStatus(address)
	if err == nil && status.ConfigVersion == 0 {
		return errors.New("no version is in force")
	}
	return err
}

// askStatus asks a process for its state.
func askStatus(address string) (peer.Status, error) {
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer stop()
	return peer.AskStatus(ctx, address)
}
