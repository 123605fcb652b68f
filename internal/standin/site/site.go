// Package site runs the stand-ins of a whole platform: the log, the list of
// hosts, the weight store, and an engine or plain service for each backend
// server.
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

// Defaults of the platform's stand-ins.
const (
	// DefaultStepMillis is the time of one engine step, in milliseconds.
	DefaultStepMillis = 10
	// DefaultAppendsPerSecond limits the log.
	DefaultAppendsPerSecond = 400
	// DefaultRetainSeconds is how long the log keeps records.
	DefaultRetainSeconds = 24 * 3600
	// DefaultListLagMillis is how late the list of hosts shows a change.
	DefaultListLagMillis = 500
	// DefaultLoadsPerMinute limits the weight store.
	DefaultLoadsPerMinute = 60
)

// errNoBackend means that there is nothing to stand in for.
var errNoBackend = errors.New("no backend server is named")

// Site holds the stand-ins. Backends is set before Prepare; the other fields
// are set by Prepare and may be changed before Run.
type Site struct {
	// Backends are the settings whose addresses the stand-ins serve. The
	// platform's addresses are those of the first one.
	Backends []process.Backend
	// StepMillis is the time of one engine step; zero means the default.
	StepMillis int

	Journal  *journal.Store
	HostList *hostlist.Server
	Weights  *weights.Server
	// Engines and Desks are by the name of the backend server.
	Engines       map[string]*engine.Server
	PlainServices map[string]*plainservice.Server
}

// Prepare makes the stand-ins.
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

// weightStoreAddress returns the first address that is set.
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
