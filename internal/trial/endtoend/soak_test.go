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
	soakSeconds = flag.Int("soak-seconds", 8, "length of the faults of each run of TestSoak")
)

const (
	soakEntries       = 3
	soakEngines       = 4
	soakPlainServices = 2
	soakCallers       = 10
	// soakRecoverMillis is the time after the last fault in which all serve again.
	soakRecoverMillis = 12_000
	// sidecarPort is where a process beside an engine listens, behind its proxy.
	sidecarPort = platformPeerPort + 7
)

// soakRegressions are the seeds that ever failed, with the cause.
var soakRegressions = map[int64]string{
	119: "a signal that came while a process started ended it",
}

// TestSoak runs processes under random faults and checks what callers and backend
// servers see. A seed gives the same faults at the same times; the load follows
// the machine.
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

// soak is one run.
type soak struct {
	*platformSite
	random  *rand.Rand
	entries []*soakEntry
	// proxies stand before the store, the entry hosts' control addresses and the
	// processes beside engines.
	proxies []*relay
	calls   callLog
	keys    keyring
	endsAt  time.Time
}

// soakEntry is an entry host.
type soakEntry struct {
	*program
	callerAddress, readyAddress string
	// faultSlot counts the faults that hold the process now. Only the fault that
	// took it from zero acts on it.
	faultSlot chan struct{}
}

func newSoak(t *testing.T, seed int64) *soak {
	t.Helper()
	const processes = soakEntries + soakEngines
	s := &soak{
		platformSite: newPlatformStore(t, processes),
		random:       rand.New(rand.NewPCG(uint64(seed), 0)),
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

// addEngineBehindProxy starts an engine with its process, both behind proxies.
func (s *soak) addEngineBehindProxy(number int) {
	pool := newAddressPool(s.t)
	e := &platformEngine{Replica: s.newReplica(fmt.Sprintf("engine-%d", number), pool.ip), number: number}
	settings := s.sidecarSettings(e, pool.ip)
	settings.PeerPort = sidecarPort
	e.sidecar = newProgram(s.t, "beside-"+e.ID, "direct-backend", s.write("beside-"+e.ID, settings))
	e.sidecar.start()
	s.engines = append(s.engines, e)
	data := newRelay(s.t, pool.next(), e.Addr())
	peer := newRelay(s.t, net.JoinHostPort(pool.ip, strconv.Itoa(platformPeerPort)), settings.PeerAddress())
	s.proxies = append(s.proxies, data, peer)
	e.registeredAddress = data.listener.Addr().String()
	s.register(e.Replica, "engines", "ready")
}

// startEntries starts the entry hosts. The first two read the store for all.
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

// run plays load and faults, and checks.
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
	if err := group.Wait(); err != nil {
		s.t.Error(err)
	}
	s.checkRecovery()
	s.check()
}

// isReady returns an error while the entry host does not say that it is ready.
func (e *soakEntry) isReady() error {
	return readyAt(e.readyAddress)
}

// checkRecovery checks that every entry host is ready and serves each kind of
// request in time after the last fault.
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
			s.t.Errorf("%s does not serve %d ms after the last fault: %v", e.name, soakRecoverMillis, err)
		}
	}
}

func (s *soak) servedBy(n int, e *soakEntry) error {
	if err := e.isReady(); err != nil {
		return err
	}
	for _, ask := range []callerRequest{
		idempotentPost(s.calls.newID(n), platformKey),
		{method: http.MethodPost, target: oncePath, id: s.calls.newID(n), key: platformKey, body: "{}"},
		streamRequest(s.calls.newID(n), 20),
	} {
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(callMillis*time.Millisecond))
		reply := s.sendTo(ctx, http.DefaultClient, e.callerAddress, ask)
		stop()
		s.calls.add(attempt{request: ask, reply: reply})
		if reply.err != nil || reply.status != http.StatusOK {
			return fmt.Errorf("%s: status %d, %w", ask.target, reply.status, reply.err)
		}
	}
	return nil
}

// rotateKeys adds a key and takes it away, over and over.
func (s *soak) rotateKeys() error {
	const heldMillis, goneMillis = 1500, 1200
	for n := 0; time.Now().Before(s.endsAt); n++ {
		key := fmt.Sprintf("passing-key-%d", n)
		s.configure(platformKey, key)
		s.keys.add(key)
		time.Sleep(heldMillis * time.Millisecond)
		s.configure(platformKey)
		s.keys.remove(key, time.Now())
		time.Sleep(goneMillis * time.Millisecond)
	}
	return nil
}

// stop tells an entry host to end, and checks that it does so in time.
func (s *soak) stop(e *soakEntry) {
	e.signal(syscall.SIGTERM)
	if code := e.exitCode(); code != 0 {
		s.t.Errorf("%s ended with code %d", e.name, code)
	}
}
