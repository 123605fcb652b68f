package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sync/semaphore"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

const (
	region       = "zagreb"
	model        = "coach"
	memoryTokens = 50000
	// maxProcesses bounds the processes of all concurrent deployments.
	maxProcesses = 12
	// stepMillis is the time in which an engine produces one token of each
	// running generation.
	stepMillis = 10
)

// processSlots limits the processes that parallel tests run.
var processSlots = semaphore.NewWeighted(maxProcesses)

// layout describes a deployment.
type layout struct {
	entries       int
	engines       int
	plainServices int
	// relayed routes the connections to the peer address of each backend server
	// through a relay.
	relayed bool
	// unconfigured starts the deployment without an operator file.
	unconfigured bool
	// stepMillis is the engine's time for one token; zero means the constant
	// stepMillis.
	stepMillis int
	// changeEntry and changeBackend modify the settings of each process; nil
	// keeps the defaults.
	changeEntry   func(*process.Entry)
	changeBackend func(*process.Backend)
}

// entryHost is the process of an entry host with its settings.
type entryHost struct {
	*program
	settings process.Entry
}

// backendServer is a backend server with the process beside it.
type backendServer struct {
	*program
	settings process.Backend
	// relay forwards to the peer address; nil without a relay.
	relay *relay
	// engine is nil for a plain service.
	engine *engine.Server
	// plainService is nil for an engine.
	plainService *plainservice.Server
}

// deployment is a set of processes with the stand-ins of the platform.
type deployment struct {
	t         *testing.T
	directory string
	pool      *addressPool
	site      *site.Site
	entries   []*entryHost
	backends  []*backendServer
}

// newDeployment starts a deployment and waits until it can serve requests. The
// test's cleanup stops it.
func newDeployment(t *testing.T, l layout) *deployment {
	t.Helper()
	count := int64(l.entries + l.engines + l.plainServices)
	if err := processSlots.Acquire(context.Background(), count); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processSlots.Release(count) })
	d := &deployment{t: t, directory: t.TempDir(), pool: newAddressPool(t)}
	d.prepare(l)
	d.listHosts()
	d.serveSite()
	if !l.unconfigured {
		d.apply()
	}
	for _, b := range d.backends {
		b.start()
	}
	for _, b := range d.backends {
		b.waitServing()
	}
	for _, e := range d.entries {
		e.start()
	}
	d.waitListed()
	if !l.unconfigured {
		d.waitConfigured()
	}
	return d
}

// prepare writes the settings of all processes and creates the relays and the
// stand-ins, without starting a process.
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
	for n := range l.plainServices {
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
	for n, b := range d.backends {
		b.engine = d.site.Engines[b.settings.Name]
		b.plainService = d.site.PlainServices[b.settings.Name]
		if b.engine != nil {
			b.engine.Seed = uint64(n + 1)
		}
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

// backend returns the backend server with the name, or nil.
func (d *deployment) backend(name string) *backendServer {
	for _, b := range d.backends {
		if b.settings.Name == name {
			return b
		}
	}
	return nil
}
