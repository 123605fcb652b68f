package reconciler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	standinengine "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
	standinweights "github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

const (
	modelName = "coach"
	// idleStepMillis is the step of an engine without generations.
	idleStepMillis = 1000
)

var errLogDown = errors.New("log is down")

// configurationOf returns a configuration with one model.
func configurationOf(number uint64, version string, replicas int, adapters ...string) configversion.Configuration {
	model := operatorfile.Model{Name: modelName, Version: version, Adapters: adapters, Replicas: replicas}
	document := operatorfile.Document{Models: []operatorfile.Model{model}}.WithIndex()
	return configversion.Configuration{Version: number, ID: fmt.Sprint(number), Document: document}
}

// configLog stands for the configuration log. It holds the version that was accepted
// last.
type configLog struct {
	mu   sync.Mutex
	last configversion.Configuration
	down bool
}

func (l *configLog) accept(configuration configversion.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = configuration
}

func (l *configLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// localConfiguration is the Configuration of one process. It holds the versions that
// the process has received.
type localConfiguration struct {
	configversion.Register
	log *configLog
}

func (c *localConfiguration) Latest() (configversion.Configuration, bool) { return c.Current() }

func (c *localConfiguration) receive(configuration configversion.Configuration) {
	if _, err := c.Offer(configversion.State{Configuration: configuration}); err != nil {
		panic(err)
	}
}

func (c *localConfiguration) Confirm(context.Context) error {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if c.log.down {
		return errLogDown
	}
	c.receive(c.log.last)
	return nil
}

// testbed consists of an engine, a weight store and the processes that send orders to
// the engine, one after the other.
type testbed struct {
	log        configLog
	engine     *standinengine.Server
	store      *standinweights.Server
	enginePipe serving.Pipe
	storePipe  serving.Pipe
	// open and rank are returned by the functions Open and Rank of each Reconciler.
	open int
	rank int

	is      *is.I
	ctx     context.Context
	group   errgroup.Group
	clients []*http.Client
	// stopProcess stops the running process.
	stopProcess context.CancelFunc
	process     *errgroup.Group
}

// inVirtualTime runs the engine and the store of a testbed in virtual time, and runs
// test on it.
func inVirtualTime(t *testing.T, b *testbed, test func(*testbed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b.is = is.New(t)
		b.ctx = ctx
		if b.engine.StepMillis == 0 {
			b.engine.StepMillis = idleStepMillis
		}
		if b.store == nil {
			b.store = &standinweights.Server{}
		}
		b.group.Go(func() error { return b.enginePipe.Serve(ctx, b.engine.Handler()) })
		b.group.Go(func() error { return b.storePipe.Serve(ctx, b.store.Handler()) })
		b.group.Go(func() error { return b.engine.RunSteps(ctx) })
		test(b)
		b.stop()
		for _, c := range b.clients {
			c.CloseIdleConnections()
		}
		cancel()
		b.is.NoErr(b.group.Wait())
	})
}

func (b *testbed) client(pipe *serving.Pipe) *http.Client {
	c := pipe.Client()
	b.clients = append(b.clients, c)
	return c
}

// newReconciler returns a process that has received a configuration, unless its
// version is 0.
func (b *testbed) newReconciler(configuration configversion.Configuration) (*Reconciler, *localConfiguration) {
	local := &localConfiguration{log: &b.log}
	if configuration.Version > 0 {
		local.receive(configuration)
	}
	r := &Reconciler{
		Model:         modelName,
		Rank:          func() int { return b.rank },
		Open:          func() int { return b.open },
		Configuration: local,
		Engine:        &engine.Client{Address: "engine", HTTP: b.client(&b.enginePipe)},
		ChecksFencing: b.engine.ChecksFencing,
		Store:         &weights.Client{Address: "store", HTTP: b.client(&b.storePipe)},
	}
	return r, local
}

// start runs a process that has received a configuration.
func (b *testbed) start(configuration configversion.Configuration) (*Reconciler, *localConfiguration) {
	r, local := b.newReconciler(configuration)
	ctx, stop := context.WithCancel(b.ctx)
	b.stopProcess = stop
	b.process = &errgroup.Group{}
	b.process.Go(func() error { return r.Run(ctx) })
	return r, local
}

// stop stops the running process.
func (b *testbed) stop() {
	if b.process == nil {
		return
	}
	b.stopProcess()
	b.is.NoErr(b.process.Wait())
	b.process = nil
}

// publish adds a configuration to the log and lets a process receive it.
func (b *testbed) publish(local *localConfiguration, configuration configversion.Configuration) {
	b.log.accept(configuration)
	local.receive(configuration)
}

// orders returns the orders that took effect, as text.
func (b *testbed) orders() []string {
	orders := []string{}
	for _, o := range b.engine.Orders() {
		orders = append(orders, fmt.Sprintf("%d %s %s%s", o.Fence, o.Kind, o.Target, o.Version))
	}
	return orders
}

// loads returns how often the store has loaded the version of the model.
func (b *testbed) loads(version string) int {
	return b.store.Loads(standinweights.Weights{Model: modelName, Version: version})
}

// numberDecreased reports whether an order took effect after one with a higher
// fencing number.
func (b *testbed) numberDecreased() bool {
	highest := uint64(0)
	for _, o := range b.engine.Orders() {
		if o.Fence < highest {
			return true
		}
		highest = o.Fence
	}
	return false
}

// engineKinds returns one engine of each kind that the platform has. The names say
// whether the engine checks or ignores fencing numbers, and whether it hides its state.
func engineKinds() map[string]*standinengine.Server {
	return map[string]*standinengine.Server{
		"checks":            {ChecksFencing: true},
		"checks and hides":  {ChecksFencing: true, HidesState: true},
		"ignores":           {},
		"ignores and hides": {HidesState: true},
	}
}

// forEachEngine runs test on a testbed for each kind of engine.
func forEachEngine(t *testing.T, test func(*testbed)) {
	for name, server := range engineKinds() {
		t.Run(name, func(t *testing.T) { inVirtualTime(t, &testbed{engine: server}, test) })
	}
}

// settle waits long enough, in virtual time, for all pending work to be done.
func settle() { time.Sleep(3 * time.Minute) }
