// Package site runs the stand-ins for a whole platform: the log, the host list, the
// weight store, and an engine or a plain service for each backend server. They serve the
// entry hosts and the processes beside the backend servers, but not the direct path;
// the stand-ins for that are in the packages keyedlog and replica.
package site

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/weights"
)

// Defaults for the stand-ins.
const (
	// DefaultStepMillis is the duration of one engine step, in milliseconds.
	DefaultStepMillis = 10
	// DefaultAppendsPerSecond is the rate limit of the log.
	DefaultAppendsPerSecond = 400
	// DefaultRetainSeconds is how long the log retains records, in seconds.
	DefaultRetainSeconds = 24 * 3600
	// DefaultListLagMillis is the delay until the host list shows a change, in
	// milliseconds.
	DefaultListLagMillis = 500
	// DefaultLoadsPerMinute is the rate limit of the weight store.
	DefaultLoadsPerMinute = 60
)

// errNoBackend means that Backends is empty.
var errNoBackend = errors.New("no settings of a backend server were found")

// Site holds the stand-ins. Backends and StepMillis must be set before Prepare.
// Prepare sets the other fields; they may be changed before Run.
type Site struct {
	// Backends holds the settings of the processes beside the backend servers. The
	// stand-ins listen on the addresses in them. The addresses of the log and the
	// host list are taken from the first one.
	Backends []process.Backend
	// StepMillis is the duration of one engine step, in milliseconds; zero means
	// DefaultStepMillis.
	StepMillis int

	Journal  *journal.Store
	HostList *hostlist.Server
	Weights  *weights.Server
	// Engines and PlainServices hold the stand-ins by the name of their backend
	// server.
	Engines       map[string]*engine.Server
	PlainServices map[string]*plainservice.Server
}

// Prepare creates the stand-ins.
func (s *Site) Prepare() error {
	if len(s.Backends) == 0 {
		return errNoBackend
	}
	first := s.Backends[0]
	s.Journal = &journal.Store{
		AppendsPerSecond: DefaultAppendsPerSecond,
		RetainSeconds:    DefaultRetainSeconds,
	}
	s.HostList = &hostlist.Server{Address: first.HostListAddress, LagMillis: DefaultListLagMillis}
	s.Weights = &weights.Server{Address: s.weightStoreAddress(), LoadsPerMinute: DefaultLoadsPerMinute}
	s.Engines = make(map[string]*engine.Server)
	s.PlainServices = make(map[string]*plainservice.Server)
	for _, b := range s.Backends {
		s.addBackend(b)
	}
	return nil
}

func (s *Site) addBackend(b process.Backend) {
	if b.Kind == process.KindPlain {
		s.PlainServices[b.Name] = &plainservice.Server{Address: b.ServiceAddress}
		return
	}
	step := s.StepMillis
	if step == 0 {
		step = DefaultStepMillis
	}
	s.Engines[b.Name] = &engine.Server{
		Address:       b.EngineAddress,
		MemoryTokens:  b.MemoryTokens,
		MaxBatch:      b.MaxRunning,
		StepMillis:    step,
		ChecksFencing: b.EngineChecksFencing,
		Seed:          1,
	}
}

// weightStoreAddress returns the first weight store address that is set.
func (s *Site) weightStoreAddress() string {
	for _, b := range s.Backends {
		if b.WeightStoreAddress != "" {
			return b.WeightStoreAddress
		}
	}
	return ""
}

// Run serves all stand-ins until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	log := &journal.Server{Address: s.Backends[0].LogServiceAddress, Store: s.Journal}
	group.Go(func() error { return errors.Wrap(log.Run(ctx), "log") })
	group.Go(func() error { return errors.Wrap(s.HostList.Run(ctx), "host list") })
	if s.Weights.Address != "" {
		group.Go(func() error { return errors.Wrap(s.Weights.Run(ctx), "weight store") })
	}
	for name, server := range s.Engines {
		group.Go(func() error { return errors.Wrapf(server.Run(ctx), "engine of %s", name) })
	}
	for name, server := range s.PlainServices {
		group.Go(func() error { return errors.Wrapf(server.Run(ctx), "plain service of %s", name) })
	}
	return group.Wait()
}
