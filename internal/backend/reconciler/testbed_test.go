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

// configLog is the log: what was accepted last, whoever has heard of it.
type configLog struct {
	mu   sync.Mutex
	last configversion.Configuration
	down bool
}

func (a *configLog) accept(e configversion.Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = e
}

func (a *configLog) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// localConfiguration is what one process has heard of the log.
type localConfiguration struct {
	configversion.Register
	log *configLog
}

func (h *localConfiguration) Latest() (configversion.Configuration, bool) { return h.Current() }

func (h *localConfiguration) receive(e configversion.Configuration) {
	if _, err := h.Offer(configversion.State{Configuration: e}); err != nil {
		panic(err)
	}
}

func (h *localConfiguration) Confirm(context.Context) error {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if h.log.down {
		return errLogDown
	}
	h.receive(h.log.last)
	return nil
}

// testbed is an engine and a store with the processes that give it orders.
type testbed struct {
	log        configLog
	engine     *standinengine.Server
	store      *standinweights.Server
	enginePipe serving.Pipe
	storePipe  serving.Pipe
	open       int
	rank       int

	is      *is.I
	ctx     context.Context
	group   errgroup.Group
	clients []*http.Client
	// stopProcess ends the process that runs.
	stopProcess context.CancelFunc
	process     *errgroup.Group
}

// inVirtualTime runs test on a bench whose engine and store serve.
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
		b.group.Go(func() error { return b.engine.Loop(ctx) })
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

// newReconciler returns a process that has heard of a configuration.
func (b *testbed) newReconciler(e configversion.Configuration) (*Reconciler, *localConfiguration) {
	h := &localConfiguration{log: &b.log}
	if e.Version > 0 {
		h.receive(e)
	}
	f := &Reconciler{
		Model:         modelName,
		Rank:          func() int { return b.rank },
		Open:          func() int { return b.open },
		Configuration: h,
		Engine:        &engine.Client{Address: "engine", HTTP: b.client(&b.enginePipe)},
		ChecksFencing: b.engine.ChecksFencing,
		Store:         &weights.Client{Address: "store", HTTP: b.client(&b.storePipe)},
	}
	return f, h
}

// start runs a process that has heard of a configuration.
func (b *testbed) start(e configversion.Configuration) (*Reconciler, *localConfiguration) {
	f, h := b.newReconciler(e)
	ctx, stop := context.WithCancel(b.ctx)
	b.stopProcess = stop
	b.process = &errgroup.Group{}
	b.process.Go(func() error { return f.Run(ctx) })
	return f, h
}

// stop ends the process that runs.
func (b *testbed) stop() {
	if b.process == nil {
		return
	}
	b.stopProcess()
	b.is.NoErr(b.process.Wait())
	b.process = nil
}

// publish accepts a configuration and lets a process hear it.
func (b *testbed) publish(h *localConfiguration, e configversion.Configuration) {
	b.log.accept(e)
	h.receive(e)
}

// orders lists the orders that took effect, as text.
func (b *testbed) orders() []string {
	taken := []string{}
	for _, o := range b.engine.Orders() {
		taken = append(taken, fmt.Sprintf("%d %s %s%s", o.Fence, o.Kind, o.Target, o.Version))
	}
	return taken
}

// loads counts the loads of the model's version from the store.
func (b *testbed) loads(version string) int {
	return b.store.Loads(standinweights.Weights{Model: modelName, Version: version})
}

// numberDecreased reports whether a number was taken after a higher one.
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

// engineKinds are the engines that the platform has.
func engineKinds() map[string]*standinengine.Server {
	return map[string]*standinengine.Server{
		"checks":            {ChecksFencing: true},
		"checks and hides":  {ChecksFencing: true, HidesState: true},
		"ignores":           {},
		"ignores and hides": {HidesState: true},
	}
}

func forEachEngine(t *testing.T, test func(*testbed)) {
	for name, server := range engineKinds() {
		t.Run(name, func(t *testing.T) { inVirtualTime(t, &testbed{engine: server}, test) })
	}
}

// settle is a time after which all that is due has been done.
func settle() { time.Sleep(3 * time.Minute) }
