package endtoend

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// faultPauseMillis is the longest pause between the starts of two faults. Most
	// faults last longer, so that they overlap.
	faultPauseMillis = 700
	// faultLeastMillis and faultMostMillis bound the duration of a fault.
	faultLeastMillis = 200
	faultMostMillis  = 2500
	// startMillis is the time after its start by which a process handles signals. An
	// earlier signal can end the process.
	startMillis = 300
)

// fault is one fault. All its random choices are made in advance, so that a seed gives
// the same faults.
type fault struct {
	kind int
	// target selects the process, server or proxy that is affected.
	target int
	// variant selects the form of the fault.
	variant  int
	duration time.Duration
}

// Kinds of faults.
const (
	faultKillEntry = iota
	faultFreezeEntry
	faultStopEntry
	faultReloadEntry
	faultKillMonitor
	faultFreezeMonitor
	faultShutDownEngine
	faultBadEngine
	faultBadPlainService
	faultStore
	faultHistory
	faultDelay
	faultReset
	faultSilence
	faultKinds
)

// randomFault makes the random choices of one fault.
func randomFault(random *rand.Rand) fault {
	const spreadMillis = faultMostMillis - faultLeastMillis
	return fault{
		kind:     random.IntN(faultKinds),
		target:   random.IntN(1 << 16),
		variant:  random.IntN(1 << 16),
		duration: time.Duration(faultLeastMillis+random.IntN(spreadMillis)) * time.Millisecond,
	}
}

// injectFaults starts random faults until the end of the run and waits until all have
// ended.
func (s *soak) injectFaults() error {
	var group errgroup.Group
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	for time.Now().Before(s.endsAt) {
		f := randomFault(random)
		group.Go(func() error {
			s.inject(f)
			return nil
		})
		time.Sleep(time.Duration(random.IntN(faultPauseMillis)) * time.Millisecond)
	}
	return group.Wait()
}

// inject injects one fault and returns when it has ended.
func (s *soak) inject(f fault) {
	switch f.kind {
	case faultKillEntry, faultFreezeEntry, faultStopEntry, faultReloadEntry:
		s.injectEntryFault(f)
	case faultKillMonitor, faultFreezeMonitor:
		s.injectMonitorFault(f)
	case faultShutDownEngine:
		s.injectEngineShutdown(f)
	case faultBadEngine:
		s.injectServerFault(f, s.engines[f.target%len(s.engines)].Replica, engineFaults)
	case faultBadPlainService:
		s.injectServerFault(f, s.plainServices[f.target%len(s.plainServices)], plainServiceFaults)
	case faultStore, faultHistory:
		s.injectStoreFault(f)
	default:
		s.injectProxyFault(f)
	}
}

// injectEntryFault kills, freezes, stops or reloads an entry host, unless another fault
// affects it.
func (s *soak) injectEntryFault(f fault) {
	e := s.entries[f.target%len(s.entries)]
	select {
	case e.faultSlot <- struct{}{}:
	default:
		return // another fault affects the process
	}
	defer func() { <-e.faultSlot }()
	switch f.kind {
	case faultKillEntry:
		e.kill()
		time.Sleep(f.duration)
		e.start()
	case faultFreezeEntry:
		e.freeze()
		time.Sleep(f.duration)
		e.thaw()
	case faultStopEntry:
		s.stop(e)
		e.start()
	default:
		e.signal(syscall.SIGHUP)
	}
	time.Sleep(startMillis * time.Millisecond)
}

// injectMonitorFault kills and restarts, or freezes, the monitor of an engine, unless
// another fault affects the monitor.
func (s *soak) injectMonitorFault(f fault) {
	e := s.engines[f.target%len(s.engines)]
	if !e.monitorFault.TryLock() {
		return
	}
	defer e.monitorFault.Unlock()
	if f.kind == faultKillMonitor {
		e.monitor.kill()
		time.Sleep(f.duration)
		e.monitor.start()
		return
	}
	e.monitor.freeze()
	time.Sleep(f.duration)
	e.monitor.thaw()
}

// injectEngineShutdown shuts an engine down with notice and registers it again as a new
// one, unless another fault affects the engine.
func (s *soak) injectEngineShutdown(f fault) {
	e := s.engines[f.target%len(s.engines)]
	if !e.shutdownFault.TryLock() {
		return
	}
	defer e.shutdownFault.Unlock()
	e.Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
	if f.variant%2 == 0 {
		s.register(e.Replica, "engines", "draining")
	}
	time.Sleep(shutdownNoticeMillis * time.Millisecond)
	s.log.Put("keyed.servers", e.ID, nil)
	time.Sleep(f.duration)
	e.Drain(time.Time{})
	s.register(e.Replica, "engines", "ready")
}

var (
	engineFaults = []replica.Faults{
		{Decline: true}, {BreakAfter: 7}, {BreakAfter: 7, BreakWithinEvent: true}, {StallBefore: 5, StallMillis: 400}, {RefuseCopies: true}, {RefuseMigrations: true},
	}
	plainServiceFaults = []replica.Faults{
		{Decline: true}, {Status: http.StatusInternalServerError}, {TruncateBody: true}, {ForeignAnswer: true}, {NoContentLength: true},
	}
)

// injectServerFault sets one of the faults at a backend server.
func (s *soak) injectServerFault(f fault, r *replica.Replica, faults []replica.Faults) {
	r.SetFaults(faults[f.variant%len(faults)])
	time.Sleep(f.duration)
	r.SetFaults(replica.Faults{})
}

// injectStoreFault deletes the store's history, or makes the store refuse requests or
// not respond.
func (s *soak) injectStoreFault(f fault) {
	if f.kind == faultHistory {
		s.log.DeleteHistory("keyed.op")
		s.log.DeleteHistory("keyed.servers")
		return
	}
	faults := []keyedlog.Faults{{RefuseStatus: http.StatusTooManyRequests}, {RefuseStatus: http.StatusServiceUnavailable}, {Unresponsive: true}}
	s.log.SetFaults(faults[f.variant%len(faults)])
	time.Sleep(f.duration)
	s.log.SetFaults(keyedlog.Faults{})
}

// injectProxyFault delays, resets or silences the connections of a proxy.
func (s *soak) injectProxyFault(f fault) {
	const mostDelayMillis = 300
	p := s.proxies[f.target%len(s.proxies)]
	switch f.kind {
	case faultDelay:
		p.delayMillis.Store(int64(f.variant % mostDelayMillis))
		time.Sleep(f.duration)
		p.delayMillis.Store(0)
	case faultReset:
		p.reset()
	default:
		directions := [][]direction{{toBackend}, {toEntry}, {toBackend, toEntry}}
		p.silence(directions[f.variant%len(directions)]...)
		time.Sleep(f.duration)
		p.resume()
	}
}
