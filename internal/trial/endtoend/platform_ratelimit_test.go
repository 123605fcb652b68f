package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

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
)

// rateLimitSite is a deployment with several entry hosts.
type rateLimitSite struct {
	*platformSite
	hosts []process.DirectEntry
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
	for n := range entries {
		settings := s.entrySettings(fmt.Sprintf("entry-%d", n))
		settings.MetricsPort += n
		newProgram(t, settings.Name, "direct-entry", s.write(settings.Name, settings)).start()
		s.hosts = append(s.hosts, settings)
	}
	for _, host := range s.hosts {
		eventually(t, host.Name+" ready", func() error { return readyAt(host.ReadyAddress) })
	}
	s.settings = s.hosts[0]
	return s
}

// load sends requests to all entry hosts in turn, one each pauseMillis, for the given
// time, and returns the number of replies by status.
func (s *rateLimitSite) load(name string, forMillis, pauseMillis int, newRequest func(id string) callerRequest) map[int]int {
	var group errgroup.Group
	statuses := make(chan int, forMillis/pauseMillis+1)
	ticker := time.NewTicker(time.Duration(pauseMillis) * time.Millisecond)
	defer ticker.Stop()
	for n := range forMillis / pauseMillis {
		host := s.hosts[n%len(s.hosts)]
		request := newRequest(fmt.Sprintf("%s-%d", name, n))
		group.Go(func() error {
			statuses <- s.sendTo(context.Background(), http.DefaultClient, host.CallerAddress, request).status
			return nil
		})
		<-ticker.C
	}
	_ = group.Wait()
	close(statuses)
	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}
	return counts
}

// mostInWindow returns the highest number of requests that reached a server in a window
// after the given time.
func mostInWindow(server *replica.Replica, from time.Time) int {
	var times []time.Time
	for _, arrival := range server.Arrivals() {
		if arrival.At.After(from) {
			times = append(times, arrival.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for begin, at := range times {
		end, _ := slices.BinarySearchFunc(times, at.Add(rateWindowMillis*time.Millisecond), time.Time.Compare)
		most = max(most, end-begin)
	}
	return most
}

// checkRate fails the test if more requests than its limit allows reached a server in
// some window after the given time.
func checkRate(t *testing.T, server *replica.Replica, perSecond float64, from time.Time) {
	t.Helper()
	allowed := int(rateOverage*perSecond*rateWindowMillis/1000) + rateSlack
	most := mostInWindow(server, from)
	t.Logf("%s: at most %d requests in %d ms, allowed %d", server.ID, most, rateWindowMillis, allowed)
	if most > allowed {
		t.Errorf("%s with a limit of %v a second got %d requests in %d ms, allowed %d",
			server.ID, perSecond, most, rateWindowMillis, allowed)
	}
}

// TestRateLimitOfServerKeptByAllHostsTogether guards against a backend server that gets
// more requests from all entry hosts together than the limit that it names.
func TestRateLimitOfServerKeptByAllHostsTogether(t *testing.T) {
	t.Parallel()
	const limit, loadMillis, pauseMillis = 2.0, 10_000, 25
	s := newRateLimitSite(t, 2, 3, 5)
	limited := s.plainServices[0]
	limited.SetRateLimit(limit)
	begun := time.Now()
	counts := s.load("lookup", loadMillis, pauseMillis, func(id string) callerRequest { return plainRequest(id, platformKey) })
	checkRate(t, limited, limit, begun.Add(rateSettleMillis*time.Millisecond))
	if len(counts) != 1 || counts[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only 200, as other servers have room", counts)
	}
	if arrived := mostInWindow(limited, begun.Add(rateSettleMillis*time.Millisecond)); arrived == 0 {
		t.Errorf("%s got no request within its limit", limited.ID)
	}
}
