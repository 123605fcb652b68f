package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// rateWindowMillis is the length of the windows in which requests to a backend
	// server with a rate limit are counted.
	rateWindowMillis = 4000
	// rateOverage and rateSlack bound the requests in a window: the limit for that time
	// by rateOverage, and rateSlack requests more.
	rateOverage = 1.5
	rateSlack   = 5
	// rateSettleMillis is the time from the first answer that names a limit until the
	// limit must be kept.
	rateSettleMillis = 3000
	// rateRevokeMillis is the setting RevokeMillis of the entry hosts. A host that was
	// frozen confirms its configuration again before it refuses requests for its age.
	rateRevokeMillis = 6000
)

// rateLimitSite is a deployment with several entry hosts.
type rateLimitSite struct {
	*platformSite
	hosts []*rateLimitHost
}

// rateLimitHost is an entry host.
type rateLimitHost struct {
	*program
	settings process.DirectEntry
	// down says that requests are not sent to the host.
	down atomic.Bool
}

// newRateLimitSite starts a deployment with that many engines, servers of the plain
// service and entry hosts.
func newRateLimitSite(t *testing.T, engines, plainServices, entries int) *rateLimitSite {
	t.Helper()
	s := &rateLimitSite{platformSite: newPlatformStore(t, int64(engines+entries))}
	for n := range engines {
		s.addEngine(n)
	}
	s.addPlainServices(plainServices)
	s.configure(platformKey)
	s.startHosts(entries, func(int, *process.DirectEntry) {})
	return s
}

// startHosts starts the entry hosts, with the settings that adjust changes by the number of the
// host.
func (s *rateLimitSite) startHosts(entries int, adjust func(n int, settings *process.DirectEntry)) {
	s.t.Helper()
	for n := range entries {
		settings := s.entrySettings(fmt.Sprintf("entry-%d", n))
		settings.MetricsPort += n
		settings.RevokeMillis = rateRevokeMillis
		adjust(n, &settings)
		h := &rateLimitHost{program: newProgram(s.t, settings.Name, "direct-entry", s.write(settings.Name, settings)), settings: settings}
		h.start()
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		eventually(s.t, h.name+" ready", func() error { return readyAt(h.settings.ReadyAddress) })
	}
	s.settings = s.hosts[0].settings
}

// interrupt runs a fault of a host, which gets no requests meanwhile.
func (h *rateLimitHost) interrupt(fault func()) {
	h.down.Store(true)
	defer h.down.Store(false)
	fault()
}

// load sends requests to the entry hosts in turn, one each pauseMillis, for the given time,
// and returns the replies.
func (s *rateLimitSite) load(name string, forMillis, pauseMillis int, newRequest func(id string) callerRequest) []callerReply {
	var group errgroup.Group
	replies := make([]callerReply, forMillis/pauseMillis)
	ticker := time.NewTicker(time.Duration(pauseMillis) * time.Millisecond)
	defer ticker.Stop()
	for n := range replies {
		host := s.hosts[n%len(s.hosts)]
		request := newRequest(fmt.Sprintf("%s-%d", name, n))
		group.Go(func() error {
			if !host.down.Load() {
				replies[n] = s.sendTo(context.Background(), http.DefaultClient, host.settings.CallerAddress, request)
			}
			return nil
		})
		<-ticker.C
	}
	_ = group.Wait()
	return replies
}

// statuses counts replies by status.
func statuses(replies []callerReply) map[int]int {
	counts := make(map[int]int)
	for _, reply := range replies {
		counts[reply.status]++
	}
	return counts
}

// mostInWindow returns the highest number of requests that reached a server in a window of
// rateWindowMillis between the given times.
func mostInWindow(server *replica.Replica, from, to time.Time) int {
	return mostIn(server, from, to, rateWindowMillis)
}

// mostIn is like mostInWindow with another length of the windows.
func mostIn(server *replica.Replica, from, to time.Time, windowMillis int) int {
	var times []time.Time
	for _, arrival := range server.Arrivals() {
		if arrival.At.After(from) && arrival.At.Before(to) {
			times = append(times, arrival.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for begin, at := range times {
		end, _ := slices.BinarySearchFunc(times, at.Add(time.Duration(windowMillis)*time.Millisecond), time.Time.Compare)
		most = max(most, end-begin)
	}
	return most
}

// checkRate fails the test if more requests than its limit allows reached a server in
// some window between the given times.
func checkRate(t *testing.T, server *replica.Replica, perSecond float64, from, to time.Time) {
	t.Helper()
	allowed := int(rateOverage*perSecond*rateWindowMillis/1000) + rateSlack
	most := mostInWindow(server, from, to)
	t.Logf("%s with a limit of %.1f a second: at most %d requests in %d ms, allowed %d", server.ID, perSecond, most, rateWindowMillis, allowed)
	if most > allowed {
		t.Errorf("%s with a limit of %v a second got %d requests in %d ms, allowed %d",
			server.ID, perSecond, most, rateWindowMillis, allowed)
	}
}

// lookup returns an idempotent request to the plain service.
func lookup(id string) callerRequest {
	return plainRequest(id, platformKey)
}

// limitServer makes a backend server name a limit, and returns it with the time from which the hosts keep to
// that.
func (s *rateLimitSite) limitServer(perSecond float64) (limited *replica.Replica, settled time.Time) {
	limited = s.plainServices[0]
	limited.SetRateLimit(perSecond)
	return limited, time.Now().Add(rateSettleMillis * time.Millisecond)
}

// TestRateLimitOfServerKeptByAllHostsTogether guards against a backend server that gets
// more requests from all entry hosts together than the limit that it names.
func TestRateLimitOfServerKeptByAllHostsTogether(t *testing.T) {
	t.Parallel()
	const limit, loadMillis, pauseMillis = 2.0, 10_000, 25
	s := newRateLimitSite(t, 2, 3, 5)
	limited, settled := s.limitServer(limit)
	counts := statuses(s.load("lookup", loadMillis, pauseMillis, lookup))
	checkRate(t, limited, limit, settled, time.Now())
	if len(counts) != 1 || counts[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only 200, as other servers have room", counts)
	}
	if mostInWindow(limited, settled, time.Now()) == 0 {
		t.Errorf("%s got no request within its limit", limited.ID)
	}
}

// TestRateLimitEnds checks that a server gets as many requests as the others again after
// its answers name no limit any more.
func TestRateLimitEnds(t *testing.T) {
	t.Parallel()
	const limit, limitedMillis, freeMillis, pauseMillis = 1.0, 5000, 6000, 25
	s := newRateLimitSite(t, 2, 2, 3)
	limited := s.plainServices[0]
	limited.SetRateLimit(limit)
	s.load("limited", limitedMillis, pauseMillis, lookup)
	limited.EndRateLimit()
	ended := time.Now()
	s.load("free", freeMillis, pauseMillis, lookup)
	allowed := int(rateOverage*limit*rateWindowMillis/1000) + rateSlack
	if most := mostInWindow(limited, ended, time.Now()); most <= 2*allowed {
		t.Errorf("%s got at most %d requests in %d ms after its limit had ended", limited.ID, most, rateWindowMillis)
	}
}

// TestRateLimitOfAllServersRefusesAtOnce checks that requests are refused at once as not
// run, with a time to return, when every server is held back by its limit.
func TestRateLimitOfAllServersRefusesAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit, loadMillis, pauseMillis, atOnceMillis = 2.0, 8000, 25, 500
	s := newRateLimitSite(t, 2, 2, 3)
	for _, server := range s.plainServices {
		server.SetRateLimit(limit)
	}
	settled := time.Now().Add(rateSettleMillis * time.Millisecond)
	replies := s.load("once", loadMillis, pauseMillis, func(id string) callerRequest {
		r := lookup(id)
		r.method, r.target, r.body = http.MethodPost, oncePath, "{}"
		return r
	})
	arrived := make(map[string]int)
	for _, arrival := range s.arrivals() {
		arrived[arrival.Header.Get("Fulmarvalve-Request-Id")]++
	}
	served := 0
	for n, reply := range replies {
		id := fmt.Sprintf("once-%d", n)
		switch reply.status {
		case http.StatusOK:
			served++
			is.Equal(arrived[id], 1)
		case http.StatusServiceUnavailable:
			is.Equal(arrived[id], 0) // it has not run
			seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 0)
			is.True(reply.took < atOnceMillis*time.Millisecond)
		default:
			t.Errorf("%s was answered %d", id, reply.status)
		}
	}
	for _, server := range s.plainServices {
		checkRate(t, server, limit, settled, time.Now())
	}
	is.True(float64(served) > limit*loadMillis/1000) // half of what both servers accept
}

// TestRateLimitOfEnginesHoldsForStreams checks that new streams, streams that are resumed as
// new generations and streams that are resumed at a copy keep the limits of engines, and
// that the streams that are served are complete.
func TestRateLimitOfEnginesHoldsForStreams(t *testing.T) {
	t.Parallel()
	const limit, loadMillis, pauseMillis, events = 2.0, 10_000, 60, 150
	s := newRateLimitSite(t, 4, 0, 3)
	for _, e := range s.engines {
		e.SetRateLimit(limit)
	}
	settled := time.Now().Add(rateSettleMillis * time.Millisecond)
	s.engines[0].SetFaults(replica.Faults{BreakAfter: events / 2})
	leaving := s.engines[1]
	time.AfterFunc(loadMillis/2*time.Millisecond, func() {
		leaving.Drain(time.Now().Add(1500 * time.Millisecond))
		s.register(leaving.Replica, "engines", "draining")
	})
	replies := s.load("stream", loadMillis, pauseMillis, func(id string) callerRequest {
		r := streamRequest(id, events)
		r.target = resumablePath
		return r
	})
	served := 0
	for _, reply := range replies {
		if reply.status != http.StatusOK || reply.err != nil {
			continue
		}
		served++
		if !slices.Equal(reply.events(), eventNumbers(events)) {
			t.Errorf("stream has events %v", reply.events())
		}
	}
	for _, e := range s.engines {
		checkRate(t, e.Replica, limit, settled, time.Now())
	}
	if served == 0 {
		t.Errorf("no stream was served; statuses %v", statuses(replies))
	}
}

// interruptInTurn kills, freezes and starts entry hosts and monitors, one after the other.
func (s *rateLimitSite) interruptInTurn() {
	pause := func(millis int) { time.Sleep(time.Duration(millis) * time.Millisecond) }
	pause(4000)
	s.hosts[1].interrupt(func() { s.hosts[1].kill(); pause(1000); s.hosts[1].start(); pause(1000) })
	s.hosts[2].interrupt(func() { s.hosts[2].freeze(); pause(1500); s.hosts[2].thaw(); pause(500) })
	for _, e := range s.engines {
		e.monitor.kill()
	}
	pause(3000)
	for _, e := range s.engines {
		e.monitor.start()
	}
	pause(1500)
	s.hosts[3].interrupt(func() { s.hosts[3].kill(); pause(500); s.hosts[3].start(); pause(1000) })
}

// checkNoRefusals checks that none of the replies that load returned is a refusal.
func (s *rateLimitSite) checkNoRefusals(t *testing.T, replies []callerReply) {
	t.Helper()
	for n, r := range replies {
		if r.status == http.StatusServiceUnavailable {
			t.Errorf("request %d was refused by %s after %s, though another server has room: %v",
				n, s.hosts[n%len(s.hosts)].name, r.took, r.header)
		}
	}
}

// TestRateLimitKeptWhileHostsComeAndGo checks that a limit is kept while entry hosts are
// killed, frozen and started, and while monitors, through which the hosts hear one another,
// are killed and started.
func TestRateLimitKeptWhileHostsComeAndGo(t *testing.T) {
	t.Parallel()
	const limit, loadMillis, pauseMillis = 2.0, 16_000, 25
	s := newRateLimitSite(t, 2, 2, 5)
	limited, settled := s.limitServer(limit)
	var group errgroup.Group
	group.Go(func() error {
		s.interruptInTurn()
		return nil
	})
	replies := s.load("lookup", loadMillis, pauseMillis, lookup)
	_ = group.Wait()
	checkRate(t, limited, limit, settled, time.Now())
	t.Logf("statuses %v", statuses(replies))
	s.checkNoRefusals(t, replies)
}
