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
	// faultPauseMillis is the longest pause between the starts of two faults. They
	// overlap, as most last longer.
	faultPauseMillis = 700
	// faultLeastMillis and faultMostMillis bound how long a fault lasts.
	faultLeastMillis = 200
	faultMostMillis  = 2500
	// startMillis is the time in which a process that starts catches signals.
	startMillis = 300
)

// fault is one fault, with all that chance decides drawn beforehand.
type fault struct {
	kind   int
	which  int
	choice int
	lasts  time.Duration
}

// Kinds of faults.
const (
	faultKillEntry = iota
	faultFreezeEntry
	faultStopEntry
	faultReloadEntry
	faultKillBeside
	faultFreezeBeside
	faultLeaveEngine
	faultBadEngine
	faultBadDesk
	faultStore
	faultHistory
	faultDelay
	faultReset
	faultSilence
	faultKinds
)

func drawFault(random *rand.Rand) fault {
	const spreadMillis = faultMostMillis - faultLeastMillis
	return fault{
		kind:   random.IntN(faultKinds),
		which:  random.IntN(1 << 16),
		choice: random.IntN(1 << 16),
		lasts:  time.Duration(faultLeastMillis+random.IntN(spreadMillis)) * time.Millisecond,
	}
}

// disturb plays faults until the end of the run and waits for their ends.
func (s *soak) disturb() error {
	var group errgroup.Group
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	for time.Now().Before(s.endsAt) {
		f := drawFault(random)
		group.Go(func() error {
			s.play(f)
			return nil
		})
		time.Sleep(time.Duration(random.IntN(faultPauseMillis)) * time.Millisecond)
	}
	return group.Wait()
}

// play plays one fault to its end.
func (s *soak) play(f fault) {
	switch f.kind {
	case faultKillEntry, faultFreezeEntry, faultStopEntry, faultReloadEntry:
		s.playEntry(f)
	case faultKillBeside, faultFreezeBeside:
		s.playBeside(f)
	case faultLeaveEngine:
		s.playLeave(f)
	case faultBadEngine:
		s.playServer(f, s.engines[f.which%len(s.engines)].Replica, engineFaults)
	case faultBadDesk:
		s.playServer(f, s.desks[f.which%len(s.desks)], deskFaults)
	case faultStore, faultHistory:
		s.playStore(f)
	default:
		s.playProxy(f)
	}
}

func (s *soak) playEntry(f fault) {
	e := s.entries[f.which%len(s.entries)]
	select {
	case e.disturbed <- struct{}{}:
	default:
		return // another fault holds it
	}
	defer func() { <-e.disturbed }()
	switch f.kind {
	case faultKillEntry:
		e.kill()
		time.Sleep(f.lasts)
		e.start()
	case faultFreezeEntry:
		e.freeze()
		time.Sleep(f.lasts)
		e.thaw()
	case faultStopEntry:
		s.stop(e)
		e.start()
	default:
		e.signal(syscall.SIGHUP)
	}
	time.Sleep(startMillis * time.Millisecond)
}

func (s *soak) playBeside(f fault) {
	e := s.engines[f.which%len(s.engines)]
	if !e.held.TryLock() {
		return
	}
	defer e.held.Unlock()
	if f.kind == faultKillBeside {
		e.beside.kill()
		time.Sleep(f.lasts)
		e.beside.start()
		return
	}
	e.beside.freeze()
	time.Sleep(f.lasts)
	e.beside.thaw()
}

// playLeave lets an engine leave with notice and come back as a new one.
func (s *soak) playLeave(f fault) {
	e := s.engines[f.which%len(s.engines)]
	if !e.leaving.TryLock() {
		return
	}
	defer e.leaving.Unlock()
	e.Drain(time.Now().Add(leaveMillis * time.Millisecond))
	if f.choice%2 == 0 {
		s.register(e.Replica, "engines", "draining")
	}
	time.Sleep(leaveMillis * time.Millisecond)
	s.log.Put("keyed.servers", e.ID, nil)
	time.Sleep(f.lasts)
	e.Drain(time.Time{})
	s.register(e.Replica, "engines", "ready")
}

var (
	engineFaults = []replica.Faults{
		{Decline: true}, {BreakAfter: 7}, {BreakAfter: 7, BreakWithinEvent: true}, {StallAfter: 5, StallMillis: 400}, {RefuseCopies: true}, {RefuseMigrations: true},
	}
	deskFaults = []replica.Faults{
		{Decline: true}, {Status: http.StatusInternalServerError}, {TruncateBody: true}, {ForeignAnswer: true}, {NoContentLength: true},
	}
)

func (s *soak) playServer(f fault, r *replica.Replica, faults []replica.Faults) {
	r.SetFaults(faults[f.choice%len(faults)])
	time.Sleep(f.lasts)
	r.SetFaults(replica.Faults{})
}

func (s *soak) playStore(f fault) {
	if f.kind == faultHistory {
		s.log.DeleteHistory("keyed.op")
		s.log.DeleteHistory("keyed.servers")
		return
	}
	faults := []keyedlog.Faults{{RefuseStatus: http.StatusTooManyRequests}, {RefuseStatus: http.StatusServiceUnavailable}, {Unresponsive: true}}
	s.log.SetFaults(faults[f.choice%len(faults)])
	time.Sleep(f.lasts)
	s.log.SetFaults(keyedlog.Faults{})
}

func (s *soak) playProxy(f fault) {
	const mostDelayMillis = 300
	p := s.proxies[f.which%len(s.proxies)]
	switch f.kind {
	case faultDelay:
		p.delayMillis.Store(int64(f.choice % mostDelayMillis))
		time.Sleep(f.lasts)
		p.delayMillis.Store(0)
	case faultReset:
		p.reset()
	default:
		ways := [][]direction{{toBackend}, {toEntry}, {toBackend, toEntry}}
		p.silence(ways[f.choice%len(ways)]...)
		time.Sleep(f.lasts)
		p.wake()
	}
}
