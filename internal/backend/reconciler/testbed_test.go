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

// editionOf returns a configuration with one model.
func editionOf(number uint64, version string, replicas int, adapters ...string) configversion.Configuration {
	model := operatorfile.Model{Name: modelName, Version: version, Adapters: adapters, Replicas: replicas}
	document := operatorfile.Document{Models: []operatorfile.Model{model}}.WithIndex()
	return configversion.Configuration{Version: number, ID: fmt.Sprint(number), Document: document}
}

// accepted is the log: what was accepted last, whoever has heard of it.
type accepted struct {
	mu   sync.Mutex
	last configversion.Configuration
	down bool
}

func (a *accepted) accept(e configversion.Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = e
}

func (a *accepted) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// heard is what one process has heard of the log.
type heard struct {
	configversion.Register
	log *accepted
}

func (h *heard) Edition() (configversion.Configuration, bool) { return h.Current() }

func (h *heard) hear(e configversion.Configuration) {
	if _, err := h.Offer(configversion.State{Edition: e}); err != nil {
		panic(err)
	}
}

func (h *heard) Confirm(context.Context) error {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if h.log.down {
		return errLogDown
	}
	h.hear(h.log.last)
	return nil
}

// bench is an engine and a store with the processes that give it orders.
type bench struct {
	log        accepted
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
func inVirtualTime(t *testing.T, b *bench, test func(*bench)) {
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

func (b *bench) client(pipe *serving.Pipe) *http.Client {
	c := pipe.Client()
	b.clients = append(b.clients, c)
	return c
}

// newForeman returns a process that has heard of a configuration.
func (b *bench) newForeman(e configversion.Configuration) (*Reconciler, *heard) {
	h := &heard{log: &b.log}
	if e.Version > 0 {
		h.hear(e)
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
func (b *bench) start(e configversion.Configuration) (*Reconciler, *heard) {
	f, h := b.newForeman(e)
	ctx, stop := context.WithCancel(b.ctx)
	b.stopProcess = stop
	b.process = &errgroup.Group{}
	b.process.Go(func() error { return f.Run(ctx) })
	return f, h
}

// stop ends the process that runs.
func (b *bench) stop() {
	if b.process == nil {
		return
	}
	b.stopProcess()
	b.is.NoErr(b.process.Wait())
	b.process = nil
}

// publish accepts a configuration and lets a process hear it.
func (b *bench) publish(h *heard, e configversion.Configuration) {
	b.log.accept(e)
	h.hear(e)
}

// taken lists the orders that took effect, as text.
func (b *bench) taken() []string {
	taken := []string{}
	for _, o := range b.engine.Orders() {
		taken = append(taken, fmt.Sprintf("%d %s %s%s", o.Fence, o.Kind, o.Target, o.Version))
	}
	return taken
}

// loads counts the loads of the model's version from the store.
func (b *bench) loads(version string) int {
	return b.store.Loads(standinweights.Weights{Model: modelName, Version: version})
}

// wentBack reports whether a number was taken after a higher one.
func (b *bench) wentBack() bool {
	highest := uint64(0)
	for _, o := range b.engine.Orders() {
		if o.Fence < highest {
			return true
		}
		highest = o.Fence
	}
	return false
}

// kindsOfEngine are the engines that the platform has.
func kindsOfEngine() map[string]*standinengine.Server {
	return map[string]*standinengine.Server{
		"checks":            {ChecksFencing: true},
		"checks and hides":  {ChecksFencing: true, HidesState: true},
		"ignores":           {},
		"ignores and hides": {HidesState: true},
	}
}

func forEachEngine(t *testing.T, test func(*bench)) {
	for name, server := range kindsOfEngine() {
		t.Run(name, func(t *testing.T) { inVirtualTime(t, &bench{engine: server}, test) })
	}
}

// quiet is a time after which all that is due has been done.
func quiet() { time.Sleep(3 * time.Minute) }
