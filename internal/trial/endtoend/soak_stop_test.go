package endtoend

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

var (
	soakStopSeed    = flag.Int64("soak-stop-seed", 1, "first seed of TestSoakPlannedStops")
	soakStopRuns    = flag.Int("soak-stop-runs", 1, "number of seeds of TestSoakPlannedStops, one after the other")
	soakStopSeconds = flag.Int("soak-stop-seconds", 8, "time in which the stops of each run of TestSoakPlannedStops begin, in seconds")
	soakStopLight   = flag.Bool("soak-stop-light", false, "TestSoakPlannedStops sends only short calls of few callers, and stops all entry hosts each time")
	soakStopLogs    = flag.String("soak-stop-logs", "", "directory to which the logs of a failed run of TestSoakPlannedStops are copied")
)

const (
	// probeNoticeMillis is the time from the signal within which the process must not be ready.
	probeNoticeMillis = 500
	// readyPeriodMillis is the period at which the platform asks entry hosts for their readiness, and
	// readyMisses the number of misses in a row after which it avoids a host.
	readyPeriodMillis = 1000
	readyMisses       = 2
	// readyAgainMillis bounds the start of an entry host.
	readyAgainMillis = 15_000
	// noticeDisconnectMillis is the time in which servers notice that their clients are gone.
	noticeDisconnectMillis = 400
)

// TestSoakPlannedStops guards against requests that are cut, lost or repeated by planned stops of entry
// hosts, in series and overlapping, under load of all kinds. A seed gives the same deployment and stops;
// the load depends on the speed of the host.
func TestSoakPlannedStops(t *testing.T) {
	t.Parallel()
	for n := range *soakStopRuns {
		seed := *soakStopSeed + int64(n)
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) { newStopSoak(t, seed).run() })
	}
}

// stopSoak is one run of TestSoakPlannedStops.
type stopSoak struct {
	*platformSite
	seed   int64
	random *rand.Rand
	hosts  []*stopHost
	calls  stopCallLog
	// endsAt is the time after which no stop begins.
	endsAt time.Time
	// finished says that all stops have ended.
	finished atomic.Bool
}

// stopHost is an entry host that is stopped and started again.
type stopHost struct {
	*program
	callerAddress, readyAddress string
	grace                       time.Duration
	// busy is locked while the host is being stopped or started.
	busy sync.Mutex
	// misses is the number of misses in a row that the platform has seen.
	misses atomic.Int32

	mu    sync.Mutex
	stops []plannedStop
}

// plannedStop is one stop of an entry host.
type plannedStop struct {
	// endedAt is the time at which the process had called for its exit. The kernel then still takes
	// down its memory, which is long with the race detector.
	signalledAt, endedAt time.Time
	grace                time.Duration
	code                 int
	// heldUp is the longest time for which a thread of the process waited for a processor meanwhile.
	heldUp time.Duration
	// readyAt is the time of the last question for readiness that the stopping process answered with yes.
	readyAt time.Time
}

// newStopSoak starts the deployment of a run and waits until its entry hosts are ready.
func newStopSoak(t *testing.T, seed int64) *stopSoak {
	t.Helper()
	const leastHosts, moreHosts, leastServers, moreServers = 3, 3, 2, 3
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	hosts := leastHosts + random.IntN(moreHosts)
	engines := leastServers + random.IntN(moreServers)
	s := &stopSoak{platformSite: newPlatformStore(t, int64(hosts+engines)), seed: seed, random: random}
	t.Cleanup(s.keepLogs)
	for n := range engines {
		s.addEngine(n)
	}
	s.addPlainServices(leastServers + random.IntN(moreServers))
	s.configure(platformKey)
	for n := range hosts {
		s.startHost(n)
	}
	for _, h := range s.hosts {
		eventually(t, h.name+" ready", h.isReady)
	}
	return s
}

// startHost starts an entry host. Every second one hedges, and the last one reads the store through the others.
func (s *stopSoak) startHost(number int) {
	const leastGraceSeconds, moreGraceSeconds, lightGraceSeconds, hedgeRatio = 2, 7, 5, 0.2
	settings := s.entrySettings(fmt.Sprintf("entry-%d", number))
	settings.MetricsPort += number
	settings.GraceSeconds = float64(leastGraceSeconds + s.random.IntN(moreGraceSeconds))
	if *soakStopLight {
		settings.GraceSeconds = lightGraceSeconds
	}
	if number%2 == 0 {
		settings.HedgeRatio = hedgeRatio
	}
	h := &stopHost{
		program:       newProgram(s.t, settings.Name, "direct-entry", s.write(settings.Name, settings)),
		callerAddress: settings.CallerAddress,
		readyAddress:  settings.ReadyAddress,
		grace:         time.Duration(settings.GraceSeconds) * time.Second,
	}
	// The race detector otherwise sleeps for 1 s before the process exits.
	h.environment = []string{"GORACE=atexit_sleep_ms=0"}
	h.start()
	s.hosts = append(s.hosts, h)
}

// run applies the load and the stops, and then checks what callers and servers saw.
func (s *stopSoak) run() {
	s.endsAt = time.Now().Add(time.Duration(*soakStopSeconds) * time.Second)
	var load, stops errgroup.Group
	work := []func(*rand.Rand){s.varyServers, s.drainEngines, s.changeConfiguration}
	if *soakStopLight {
		s.setPlainFaults(replica.Faults{RunMillis: 10 + s.random.IntN(50)})
		work = nil
	}
	for n := range s.callerCount() {
		work = append(work, func(r *rand.Rand) { s.callHosts(n, r) })
	}
	for _, h := range s.hosts {
		work = append(work, func(*rand.Rand) { s.watchReadiness(h) })
	}
	for n, w := range work {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		load.Go(func() error {
			w(random)
			return nil
		})
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	for time.Now().Before(s.endsAt) {
		plan := s.randomPlan(random)
		stops.Go(func() error {
			s.play(plan)
			return nil
		})
		time.Sleep(plan.pause)
		if *soakStopLight {
			_ = stops.Wait()
		}
	}
	_ = stops.Wait()
	s.finished.Store(true)
	_ = load.Wait()
	time.Sleep(noticeDisconnectMillis * time.Millisecond)
	s.check()
}

// isReady returns an error unless the entry host reports that it is ready.
func (h *stopHost) isReady() error {
	return readyAt(h.readyAddress)
}

// watchReadiness asks an entry host for its readiness as the platform does.
func (s *stopSoak) watchReadiness(h *stopHost) {
	for !s.finished.Load() {
		if h.isReady() == nil {
			h.misses.Store(0)
		} else {
			h.misses.Add(1)
		}
		time.Sleep(readyPeriodMillis * time.Millisecond)
	}
}

// chooseHost returns a host for a new connection as the platform does: it avoids hosts that are not
// ready, unless fewer than half are.
func (s *stopSoak) chooseHost(random *rand.Rand) *stopHost {
	var ready []*stopHost
	for _, h := range s.hosts {
		if h.misses.Load() < readyMisses {
			ready = append(ready, h)
		}
	}
	if 2*len(ready) < len(s.hosts) {
		ready = s.hosts
	}
	return ready[random.IntN(len(ready))]
}

// stopPlan is a planned stop of some hosts. All its random choices are made in advance.
type stopPlan struct {
	hosts []*stopHost
	// offsets holds the time from the begin of the plan to the first signal to each host.
	offsets []time.Duration
	// signals is the number of termination signals to each host, and gap the time between them.
	signals int
	gap     time.Duration
	// reloadBefore, reloadDuring and reloadAfter say when a reload signal comes as well.
	reloadBefore, reloadDuring, reloadAfter bool
	// again stops each host once more directly after its start.
	again bool
	// pause is the time until the next plan begins.
	pause time.Duration
}

// randomPlan makes the random choices of a stop.
func (s *stopSoak) randomPlan(random *rand.Rand) stopPlan {
	const spreadMillis, mostSignals, gapMillis, pauseMillis = 1000, 4, 700, 3000
	count := 1
	switch random.IntN(3) {
	case 0:
		count = len(s.hosts)
	case 1:
		count = 2
	}
	p := stopPlan{
		signals:      1 + max(0, random.IntN(2*mostSignals)-mostSignals),
		gap:          time.Duration(random.IntN(gapMillis)) * time.Millisecond,
		reloadBefore: random.IntN(4) == 0,
		reloadDuring: random.IntN(4) == 0,
		reloadAfter:  random.IntN(4) == 0,
		again:        random.IntN(4) == 0,
		pause:        time.Duration(random.IntN(pauseMillis)) * time.Millisecond,
	}
	if *soakStopLight {
		count, p.signals, p.reloadBefore, p.reloadAfter, p.again = len(s.hosts), 1, false, false, false
	}
	for _, n := range random.Perm(len(s.hosts))[:count] {
		p.hosts = append(p.hosts, s.hosts[n])
		p.offsets = append(p.offsets, time.Duration(random.IntN(spreadMillis))*time.Millisecond)
	}
	return p
}

// play stops the hosts of a plan and starts them again, except those that another plan is stopping.
func (s *stopSoak) play(p stopPlan) {
	var group errgroup.Group
	for n, h := range p.hosts {
		group.Go(func() error {
			if !h.busy.TryLock() {
				return nil
			}
			defer h.busy.Unlock()
			time.Sleep(p.offsets[n])
			s.stopHost(h, p)
			h.start()
			if p.again {
				s.awaitListening(h)
				s.stopHost(h, stopPlan{signals: 1})
				h.start()
			}
			s.awaitReady(h)
			return nil
		})
	}
	_ = group.Wait()
}

// stopHost signals a host and waits for the end of its process.
func (s *stopSoak) stopHost(h *stopHost, p stopPlan) {
	const reloadMillis, overrunMillis = 30, 1000
	if p.reloadBefore {
		h.signal(syscall.SIGHUP)
		time.Sleep(reloadMillis * time.Millisecond)
	}
	stop := plannedStop{signalledAt: time.Now(), grace: h.grace}
	h.signal(syscall.SIGTERM)
	var group errgroup.Group
	group.Go(func() error {
		stop.readyAt = h.lastReady()
		return nil
	})
	group.Go(func() error {
		h.watchProcess(&stop)
		return nil
	})
	group.Go(func() error {
		if p.reloadAfter {
			_ = h.command.Process.Signal(syscall.SIGHUP) // an ended process can't take it, nor the signals below
		}
		for range p.signals - 1 {
			time.Sleep(p.gap)
			_ = h.command.Process.Signal(syscall.SIGTERM)
			if p.reloadDuring {
				_ = h.command.Process.Signal(syscall.SIGHUP)
			}
		}
		return nil
	})
	select {
	case <-h.ended:
	case <-time.After(h.grace + overrunMillis*time.Millisecond):
		_ = h.command.Process.Signal(syscall.SIGQUIT) // prints where it is held up
		<-h.ended
	}
	ended := time.Now()
	_ = group.Wait()
	if stop.endedAt.IsZero() {
		stop.endedAt = ended
	}
	stop.code = h.command.ProcessState.ExitCode()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, stop)
}

// lastReady asks a stopping host for its readiness until it has ended, and returns the time of the last
// question that it answered with yes.
func (h *stopHost) lastReady() time.Time {
	const periodMillis = 50
	var last time.Time
	for {
		select {
		case <-h.ended:
			return last
		case <-time.After(periodMillis * time.Millisecond):
		}
		if asked := time.Now(); h.isReady() == nil {
			last = asked
		}
	}
}

// watchProcess notes when a stopping process exits, and for how long the host holds it up.
func (h *stopHost) watchProcess(stop *plannedStop) {
	const periodMillis = 20
	before := h.processorWaits()
	for {
		select {
		case <-h.ended:
			return
		case <-time.After(periodMillis * time.Millisecond):
		}
		for thread, waited := range h.processorWaits() {
			stop.heldUp = max(stop.heldUp, waited-before[thread])
		}
		if stop.endedAt.IsZero() && h.hasExited() {
			stop.endedAt = time.Now()
		}
	}
}

// hasExited reports whether the process has called for its exit.
func (h *stopHost) hasExited() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.command.Process.Pid))
	return err != nil || strings.Contains(string(stat), ") Z ")
}

// processorWaits returns for how long each thread of the process has waited for a processor, as the
// kernel counts it.
func (h *stopHost) processorWaits() map[string]time.Duration {
	waits := make(map[string]time.Duration)
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", h.command.Process.Pid))
	for _, path := range paths {
		stat, _ := os.ReadFile(path) // a thread may have ended
		var ran, waited int64
		if _, err := fmt.Sscan(string(stat), &ran, &waited); err == nil {
			waits[path] = time.Duration(waited)
		}
	}
	return waits
}

// awaitListening waits until a host that was just started takes connections.
func (s *stopSoak) awaitListening(h *stopHost) {
	var dialer net.Dialer
	for limit := time.Now().Add(readyAgainMillis * time.Millisecond); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		conn, err := dialer.DialContext(context.Background(), "tcp", h.callerAddress)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	s.t.Errorf("%s does not listen %d ms after its start", h.name, readyAgainMillis)
}

// awaitReady waits until a host that was just started is ready.
func (s *stopSoak) awaitReady(h *stopHost) {
	for limit := time.Now().Add(readyAgainMillis * time.Millisecond); time.Now().Before(limit); time.Sleep(pollMillis * time.Millisecond) {
		if h.isReady() == nil {
			return
		}
	}
	s.t.Errorf("%s is not ready %d ms after its start", h.name, readyAgainMillis)
}

// varyServers makes random servers slow, or lets them refuse or break off requests, until all stops have ended.
func (s *stopSoak) varyServers(random *rand.Rand) {
	const pauseMillis, shortMillis, leastSlowMillis, slowMillis, lastStalled, lastBroken = 500, 60, 300, 1700, 10, 30
	for !s.finished.Load() {
		slow := leastSlowMillis + random.IntN(slowMillis)
		plain := []replica.Faults{{}, {RunMillis: random.IntN(shortMillis)}, {RunMillis: slow}, {RunMillis: slow}, {Decline: true}}
		s.plainServices[random.IntN(len(s.plainServices))].SetFaults(plain[random.IntN(len(plain))])
		stalled := replica.Faults{StallBefore: 1 + random.IntN(lastStalled), StallMillis: slow}
		engine := []replica.Faults{
			{},
			{},
			stalled, stalled,
			{EndByClose: true},
			{Decline: true},
			{BreakAfter: 1 + random.IntN(lastBroken), BreakWithinEvent: random.IntN(2) == 0},
		}
		s.engines[random.IntN(len(s.engines))].SetFaults(engine[random.IntN(len(engine))])
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
	}
	s.setPlainFaults(replica.Faults{})
	s.setEngineFaults(replica.Faults{})
}

// drainEngines drains one engine after the other, so that its streams are moved.
func (s *stopSoak) drainEngines(random *rand.Rand) {
	const noticeMillis, pauseMillis = 1500, 1500
	for !s.finished.Load() {
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
		e := s.engines[random.IntN(len(s.engines))]
		e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
		s.register(e.Replica, "engines", "draining")
		time.Sleep(noticeMillis * time.Millisecond)
		e.Drain(time.Time{})
		s.register(e.Replica, "engines", "ready")
	}
}

// changeConfiguration adds a key and removes it, again and again.
func (s *stopSoak) changeConfiguration(random *rand.Rand) {
	const pauseMillis = 1200
	for n := 0; !s.finished.Load(); n++ {
		s.configure(platformKey, fmt.Sprintf("passing-key-%d", n))
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
		s.configure(platformKey)
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
	}
}

// keepLogs copies the logs of a failed run to the directory of the flag.
func (s *stopSoak) keepLogs() {
	if *soakStopLogs == "" || !s.t.Failed() {
		return
	}
	target := filepath.Join(*soakStopLogs, fmt.Sprintf("seed-%d", s.seed))
	if err := os.MkdirAll(target, 0o755); err != nil {
		s.t.Error(err)
		return
	}
	if err := os.CopyFS(target, os.DirFS(s.directory)); err != nil {
		s.t.Error(err)
	}
}
