package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// crashedMillis is the time from the crash of an engine until it serves again, as
	// another incarnation.
	crashedMillis = 1500
	// crashCount is the number of crashes after which the part that caused them must be
	// known, and crashSettleMillis the time from then until all entry hosts keep requests
	// with the part away from engines.
	crashCount        = 5
	crashSettleMillis = 3000
	// maxSentAfter bounds the requests with the part that reach engines from then on.
	maxSentAfter = 3
	// readMillis is the time that an engine takes to read a prompt.
	readMillis = 100

	crashPart = "bad0"
	firstPart = "f1"
)

// crash is the end of an engine by the part of a prompt.
type crash struct {
	part string
	at   time.Time
}

// crashSite is a deployment whose engines crash when they begin to answer a request with a
// certain part in its prompt.
type crashSite struct {
	*rateLimitSite

	mu      sync.Mutex
	crashes []crash
	// servers holds all incarnations of all engines.
	servers []*replica.Replica
	// incarnations runs the servers until ctx ends.
	incarnations errgroup.Group
	ctx          context.Context //nolint:containedctx // It ends with the test.
	// next is the number of the newest incarnation.
	next atomic.Int64
}

// newCrashSite starts a deployment with that many engines and entry hosts. The first host
// reads the store, the others read through it.
func newCrashSite(t *testing.T, engines, entries int) *crashSite {
	t.Helper()
	s := &crashSite{rateLimitSite: &rateLimitSite{platformSite: newPlatformStore(t, int64(engines+entries))}}
	ctx, stop := context.WithCancel(context.Background())
	s.ctx = ctx
	t.Cleanup(func() {
		stop()
		_ = s.incarnations.Wait()
	})
	for n := range engines {
		pool := newAddressPool(t)
		server := s.startIncarnation(pool.ip + ":0")
		settings := s.monitorSettings(&platformEngine{Replica: server, number: n}, pool.ip)
		settings.Name = fmt.Sprintf("monitor-%d", n)
		newProgram(t, settings.Name, "direct-backend", s.write(settings.Name, settings)).start()
	}
	s.configure(platformKey)
	readers := []string{}
	for n := range entries {
		settings := s.entrySettings(fmt.Sprintf("entry-%d", n))
		settings.MetricsPort += n
		if n == 0 {
			readers = append(readers, settings.ControlAddress)
		}
		settings.Readers = readers
		h := &rateLimitHost{program: newProgram(t, settings.Name, "direct-entry", s.write(settings.Name, settings)), settings: settings}
		s.hosts = append(s.hosts, h)
	}
	s.startHosts(t)
	s.settings = s.hosts[0].settings
	return s
}

// startHosts starts the entry hosts that do not run, and waits until all are ready.
func (s *crashSite) startHosts(t *testing.T) {
	t.Helper()
	for _, h := range s.hosts {
		if !h.running() {
			h.start()
		}
	}
	for _, h := range s.hosts {
		eventually(t, h.name+" ready", func() error { return readyAt(h.settings.ReadyAddress) })
	}
}

// startIncarnation starts an engine and registers it. The engine starts again as another
// incarnation some time after its crash.
func (s *crashSite) startIncarnation(address string) *replica.Replica {
	ctx, stop := context.WithCancel(s.ctx)
	server := &replica.Replica{ID: fmt.Sprintf("engine-%d", s.next.Add(1)), Group: &s.group}
	server.SetFaults(replica.Faults{CrashPart: crashPart, StallBefore: 1, StallMillis: readMillis})
	var once sync.Once
	server.OnCrash = func() {
		once.Do(func() {
			s.recordCrash()
			stop()
		})
	}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.incarnations.Go(func() error {
		defer stop()
		err := server.Serve(ctx, address, server.Routes())
		s.restart(server)
		return err
	})
	server.Addr()
	s.register(server, "engines", "ready")
	return server
}

// recent returns one of the incarnations that were started last.
func (s *crashSite) recent(count int) *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[len(s.servers)-1-rand.IntN(count)]
}

// restart starts the next incarnation of an engine that has crashed.
func (s *crashSite) restart(server *replica.Replica) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(crashedMillis * time.Millisecond):
	}
	s.log.Put("keyed.servers", server.ID, nil)
	s.startIncarnation(server.Addr())
}

func (s *crashSite) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, crash{part: crashPart, at: time.Now()})
}

func (s *crashSite) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// settledAt returns the time from which requests with the part are kept away, or false when
// there were too few crashes.
func (s *crashSite) settledAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < crashCount {
		return time.Time{}, false
	}
	return s.crashes[crashCount-1].at.Add(crashSettleMillis * time.Millisecond), true
}

// sentAfter counts the requests with the part that reached engines after a time.
func (s *crashSite) sentAfter(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, server := range s.servers {
		for _, arrival := range server.Arrivals() {
			if arrival.At.After(at) && strings.Contains(arrival.Header.Get("Fulmarvalve-Prompt-Prefix"), crashPart) {
				count++
			}
		}
	}
	return count
}

// checkKeptAway fails the test if more requests with the part than allowed reached engines
// once the part must have been known.
func (s *crashSite) checkKeptAway(t *testing.T) {
	t.Helper()
	crashes := s.crashCount()
	at, settled := s.settledAt()
	if !settled {
		t.Logf("%d crashes", crashes)
		return
	}
	sent := s.sentAfter(at)
	t.Logf("%d crashes; %d requests with the part were sent to engines from %d ms after crash %d, allowed %d",
		crashes, sent, crashSettleMillis, crashCount, maxSentAfter)
	if sent > maxSentAfter {
		t.Errorf("%d requests with the part were sent to engines after it must have been known, allowed %d", sent, maxSentAfter)
	}
}

// checkRequest returns a request of the resumable route whose prompt has the given parts
// before its own.
func checkRequest(id string, parts ...string) callerRequest {
	const events = 3
	prefix := ""
	for _, part := range parts {
		prefix += part + ":100,"
	}
	return callerRequest{
		method: http.MethodPost, target: resumablePath + "x", id: id, key: platformKey, tokens: 4 * events, body: "{}",
		header: http.Header{"Fulmarvalve-Prompt-Prefix": {prefix + fmt.Sprintf("%x:200", id)}},
	}
}

// badRequest returns a request whose prompt has the part that crashes engines.
func badRequest(id string) callerRequest {
	return checkRequest(id, firstPart, crashPart)
}

// soundRequest returns a request with the same first part, and often with another one.
func soundRequest(id string) callerRequest {
	if rand.IntN(2) == 0 {
		return checkRequest(id, firstPart)
	}
	return checkRequest(id, firstPart, fmt.Sprintf("a%d", rand.IntN(3)))
}

// served counts the complete answers.
func served(replies []callerReply) int {
	count := 0
	for _, r := range replies {
		if r.err == nil && r.status == http.StatusOK && len(r.events()) > 0 {
			count++
		}
	}
	return count
}

// injectHostFaults injects random faults, one after the other, until a time.
func (s *crashSite) injectHostFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		host := s.hosts[random.IntN(len(s.hosts))]
		pause := time.Duration(100+random.IntN(900)) * time.Millisecond
		switch random.IntN(5) {
		case 0:
			host.interrupt(func() {
				host.kill()
				host.start()
				time.Sleep(pause)
			})
		case 1:
			for _, h := range s.hosts {
				h.kill()
				h.start()
			}
		case 2:
			host.freeze()
			time.Sleep(pause)
			host.thaw()
		case 3:
			s.log.SetFaults(keyedlog.Faults{RefuseStatus: http.StatusServiceUnavailable})
			time.Sleep(pause)
			s.log.SetFaults(keyedlog.Faults{})
		case 4:
			s.log.SetFaults(keyedlog.Faults{Unresponsive: true})
			time.Sleep(pause)
			s.log.SetFaults(keyedlog.Faults{})
		}
		time.Sleep(pause / 2)
	}
}
