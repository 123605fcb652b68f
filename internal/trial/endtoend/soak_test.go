package endtoend

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	soakSeed    = flag.Int64("soak-seed", 1, "first seed of TestSoak")
	soakRuns    = flag.Int("soak-runs", 1, "number of seeds of TestSoak, one after the other")
	soakSeconds = flag.Int("soak-seconds", 8, "length of the load with faults in each run of TestSoak, in seconds")
)

const (
	soakEntries       = 3
	soakEngines       = 4
	soakPlainServices = 2
	soakCallers       = 10
	// soakRecoverMillis is the time after the last fault within which all entry
	// hosts must serve again.
	soakRecoverMillis = 12_000
	// monitorPort is the port on which the monitor of an engine listens. Its proxy
	// listens on platformPeerPort, which entry hosts connect to.
	monitorPort = platformPeerPort + 7
)

// soakRegressions holds the seeds that failed in the past, with the cause.
var soakRegressions = map[int64]string{
	119: "a signal during the start of a process ended the process",
}

// TestSoak runs a deployment on the direct path under load and random faults, and checks
// the replies to callers against the requests that ran on backend servers. A seed gives
// the same faults at the same times; the load depends on the speed of the machine.
func TestSoak(t *testing.T) {
	t.Parallel()
	seeds := make([]int64, 0, *soakRuns+len(soakRegressions))
	for n := range *soakRuns {
		seeds = append(seeds, *soakSeed+int64(n))
	}
	for seed := range soakRegressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run of TestSoak.
type soak struct {
	*platformSite
	random  *rand.Rand
	entries []*soakEntry
	// proxies forward connections to the store, to the entry hosts' control
	// addresses, to engines and to their monitors.
	proxies []*relay
	calls   callLog
	keys    keyring
	endsAt  time.Time
	// limitChoices makes the choices of the rate limits, which are separate from those of
	// the faults, and limitSpans holds what was named.
	limitChoices *rand.Rand
	limitSpans   []limitSpan
}

// soakEntry is the process of an entry host.
type soakEntry struct {
	*program
	callerAddress, readyAddress string
	// faultSlot holds a value while a fault affects the process. Other faults then
	// skip the process.
	faultSlot chan struct{}
}

// newSoak starts the deployment of a run and waits until its entry hosts are ready.
func newSoak(t *testing.T, seed int64) *soak {
	t.Helper()
	const processes = soakEntries + soakEngines
	s := &soak{
		platformSite: newPlatformStore(t, processes),
		random:       rand.New(rand.NewPCG(uint64(seed), 0)),
		limitChoices: rand.New(rand.NewPCG(uint64(seed), 2)),
	}
	for n := range soakEngines {
		s.addEngineBehindProxy(n)
	}
	s.addPlainServices(soakPlainServices)
	s.configure(platformKey)
	s.startEntries()
	for _, e := range s.entries {
		eventually(t, e.name+" ready", e.isReady)
	}
	return s
}

// addEngineBehindProxy starts an engine and its monitor, each behind a proxy.
func (s *soak) addEngineBehindProxy(number int) {
	pool := newAddressPool(s.t)
	e := &platformEngine{Replica: s.newReplica(fmt.Sprintf("engine-%d", number), pool.ip), number: number}
	settings := s.monitorSettings(e, pool.ip)
	settings.PeerPort = monitorPort
	e.monitor = newProgram(s.t, "monitor-"+e.ID, "direct-backend", s.write("monitor-"+e.ID, settings))
	e.monitor.start()
	s.engines = append(s.engines, e)
	data := newRelay(s.t, pool.next(), e.Addr())
	peer := newRelay(s.t, net.JoinHostPort(pool.ip, strconv.Itoa(platformPeerPort)), settings.PeerAddress())
	s.proxies = append(s.proxies, data, peer)
	e.registeredAddress = data.listener.Addr().String()
	s.register(e.Replica, "engines", "ready")
}

// startEntries starts the entry hosts. The last one lists all others as its readers:
// the entry hosts through which it reads the store.
func (s *soak) startEntries() {
	var readers []string
	for n := range soakEntries {
		settings := s.entrySettings(fmt.Sprintf("entry-%d", n))
		settings.MetricsPort += n
		store := newRelay(s.t, s.pool.next(), s.log.Addr())
		settings.StoreAddress = store.listener.Addr().String()
		s.proxies = append(s.proxies, store)
		if n < soakEntries-1 {
			control := newRelay(s.t, s.pool.next(), settings.ControlAddress)
			s.proxies = append(s.proxies, control)
			readers = append(readers, control.listener.Addr().String())
		} else {
			settings.Readers = readers
		}
		e := &soakEntry{
			program:       newProgram(s.t, settings.Name, "direct-entry", s.write(settings.Name, settings)),
			callerAddress: settings.CallerAddress,
			readyAddress:  settings.ReadyAddress,
			faultSlot:     make(chan struct{}, 1),
		}
		e.start()
		s.entries = append(s.entries, e)
	}
}

// run applies the load and the faults, and then runs all checks.
func (s *soak) run() {
	s.endsAt = time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var group errgroup.Group
	for n := range soakCallers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		group.Go(func() error {
			s.sendRequests(n, random)
			return nil
		})
	}
	group.Go(func() error { return s.rotateKeys() })
	group.Go(func() error { return s.injectFaults() })
	group.Go(func() error { return s.nameRateLimits() })
	if err := group.Wait(); err != nil {
		s.t.Error(err)
	}
	s.checkRecovery()
	s.checkRateLimits()
	s.check()
}

// isReady returns an error unless the entry host reports that it is ready.
func (e *soakEntry) isReady() error {
	return readyAt(e.readyAddress)
}

// checkRecovery checks that every entry host is ready and serves each kind of request
// within soakRecoverMillis after the last fault.
func (s *soak) checkRecovery() {
	deadline := time.Now().Add(soakRecoverMillis * time.Millisecond)
	for n, e := range s.entries {
		var err error
		for {
			if err = s.servedBy(n, e); err == nil || time.Now().After(deadline) {
				break
			}
			time.Sleep(pollMillis * time.Millisecond)
		}
		if err != nil {
			s.t.Errorf("%s does not serve requests %d ms after the last fault: %v", e.name, soakRecoverMillis, err)
		}
	}
}

// servedBy returns an error unless the entry host serves each kind of request.
func (s *soak) servedBy(n int, e *soakEntry) error {
	if err := e.isReady(); err != nil {
		return err
	}
	for _, request := range []callerRequest{
		idempotentPost(s.calls.newID(n), platformKey),
		{method: http.MethodPost, target: oncePath, id: s.calls.newID(n), key: platformKey, body: "{}"},
		streamRequest(s.calls.newID(n), 20),
	} {
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(callMillis*time.Millisecond))
		reply := s.sendTo(ctx, http.DefaultClient, e.callerAddress, request)
		stop()
		s.calls.add(attempt{request: request, reply: reply})
		if reply.err != nil || reply.status != http.StatusOK {
			return fmt.Errorf("%s: status %d, want 200: %w", request.target, reply.status, reply.err)
		}
	}
	return nil
}

// rotateKeys repeatedly adds a key to the configuration and removes it.
func (s *soak) rotateKeys() error {
	const activeMillis, removedMillis = 1500, 1200
	for n := 0; time.Now().Before(s.endsAt); n++ {
		key := fmt.Sprintf("passing-key-%d", n)
		s.configure(platformKey, key)
		s.keys.add(key)
		time.Sleep(activeMillis * time.Millisecond)
		s.configure(platformKey)
		s.keys.remove(key, time.Now())
		time.Sleep(removedMillis * time.Millisecond)
	}
	return nil
}

// stop sends SIGTERM to an entry host and checks that it drains in time and exits with
// code 0.
func (s *soak) stop(e *soakEntry) {
	e.signal(syscall.SIGTERM)
	if code := e.exitCode(); code != 0 {
		s.t.Errorf("%s exited with code %d, want 0", e.name, code)
	}
}
