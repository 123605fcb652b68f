package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// declineStreamEvents is the number of events of the streams of these tests.
const declineStreamEvents = 15

// newDeclineSite is like newPlatformSite, with a retry budget for all requests of a test.
func newDeclineSite(t *testing.T, engines, plainServices int) *platformSite {
	t.Helper()
	const slack = 5000
	return newAdjustedSite(t, engines, plainServices, func(settings *process.DirectEntry) { settings.RetrySlack = slack })
}

// requestTo returns a request to one of the routes.
func requestTo(path, id string) callerRequest {
	if path == oncePath || path == plainPath {
		return callerRequest{method: http.MethodPost, target: path, id: id, key: platformKey}
	}
	r := streamRequest(id, declineStreamEvents)
	r.target = path
	return r
}

// checkRan checks how many of the requests that reached a server have run.
func (s *platformSite) checkRan(t *testing.T, want int) {
	t.Helper()
	count := 0
	for _, a := range s.arrivals() {
		if a.Ran {
			count++
		}
	}
	is.New(t).Equal(count, want)
}

// TestPlatformDeclined guards against requests that fail because one server declined them,
// although another one would have run them: on every kind of route, also with max_attempts 1. If
// all servers decline, the refusal must have a time to return.
func TestPlatformDeclined(t *testing.T) {
	t.Parallel()
	const requests, maxRequests = 8, 80
	sent := 0
	decline := replica.Faults{Decline: true}
	s := newDeclineSite(t, 2, 2)
	s.engines[0].SetFaults(decline)
	s.plainServices[0].SetFaults(decline)
	paths := []string{streamPath, resumablePath, oncePath, plainPath}
	for _, path := range paths {
		t.Run("by one server, "+path, func(t *testing.T) {
			is := is.New(t)
			before, served := len(s.arrivals()), 0
			// Which server is asked first is drawn, so that none may be declined for a while.
			for served < requests || (len(s.arrivals())-before == served && served < maxRequests) {
				reply := s.send(context.Background(), requestTo(path, fmt.Sprint(path, served)))
				is.NoErr(reply.err)
				is.Equal(reply.status, http.StatusOK)
				served++
			}
			is.True(len(s.arrivals())-before > served) // some were declined first
			sent += served
		})
	}
	s.setEngineFaults(decline)
	s.plainServices[1].SetFaults(decline)
	for _, path := range paths {
		t.Run("by all servers, "+path, func(t *testing.T) {
			is := is.New(t)
			before := len(s.arrivals())
			reply := s.send(context.Background(), requestTo(path, path))
			is.Equal(reply.status, http.StatusServiceUnavailable)
			is.True(reply.header.Get("Retry-After") != "")
			is.Equal(len(s.arrivals())-before, 2) // each server was asked once
		})
	}
	s.checkRan(t, sent)
}

// TestPlatformDeclinedWithoutBudget guards against declined requests that multiply the load
// of servers in need: a further server is asked only within the retry budget.
func TestPlatformDeclinedWithoutBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newAdjustedSite(t, 0, 2, func(settings *process.DirectEntry) {
		settings.RetryRatio, settings.RetrySlack = 0, 0
	})
	for _, d := range s.plainServices {
		d.SetFaults(replica.Faults{Decline: true})
	}
	reply := s.send(context.Background(), requestTo(oncePath, "declined"))
	is.Equal(reply.status, http.StatusServiceUnavailable)
	is.True(reply.header.Get("Retry-After") != "")
	is.Equal(len(s.arrivals()), 1)
}

// TestPlatformLostAndDeclined guards against a 503, which says that nothing ran, for a
// request that one server lost and another one declined, in either order. With a third
// server the request is served, as it has run once only.
func TestPlatformLostAndDeclined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const requests = 8
	s := newDeclineSite(t, 0, 2)
	s.plainServices[0].SetFaults(replica.Faults{TruncateBody: true})
	s.plainServices[1].SetFaults(replica.Faults{Decline: true})
	for n := range requests {
		reply := s.send(context.Background(), requestTo(plainPath, fmt.Sprint("lost-", n)))
		is.Equal(reply.status, http.StatusBadGateway)
	}
	third := s.newReplica("desk-third", s.pool.ip)
	s.plainServices = append(s.plainServices, third)
	s.register(third, "plain", "ready")
	eventually(t, "third server in use", func() error {
		reply := s.send(context.Background(), requestTo(plainPath, "third"))
		if reply.status != http.StatusOK {
			return fmt.Errorf("status %d", reply.status)
		}
		return nil
	})
	for n := range requests {
		reply := s.send(context.Background(), requestTo(plainPath, fmt.Sprint("served-", n)))
		is.Equal(reply.status, http.StatusOK)
	}
}

// TestPlatformResumedPastADecline guards against streams that are cut because the first
// engine that was asked to continue them declined.
func TestPlatformResumedPastADecline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams = 8
	s := newDeclineSite(t, 3, 0)
	s.engines[0].SetFaults(replica.Faults{BreakAfter: 5})
	s.engines[1].SetFaults(replica.Faults{Decline: true})
	for n := range streams {
		reply := s.send(context.Background(), requestTo(resumablePath, fmt.Sprint("stream-", n)))
		is.NoErr(reply.err)
		is.Equal(reply.events(), eventNumbers(declineStreamEvents))
	}
	is.True(len(s.engines[0].Arrivals()) > 0)
}

// TestPlatformDeclinedStreamWaitsForRoom guards against a stream that one engine declined and
// that pushes out the runs of another engine, which has no memory for it.
func TestPlatformDeclinedStreamWaitsForRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const largePrompt, smallerPrompt, longEvents = 30_000, 8_000, 150
	s := newDeclineSite(t, 2, 0)
	var group errgroup.Group
	group.Go(func() error {
		r := streamRequest("large", longEvents)
		r.prompt = largePrompt
		is.Equal(s.send(context.Background(), r).events(), eventNumbers(longEvents))
		return nil
	})
	full := s.activeEngine()
	for _, e := range s.engines {
		if e != full {
			e.SetFaults(replica.Faults{Decline: true})
		}
	}
	time.Sleep(200 * time.Millisecond) // the entry host has the report of the full engine
	r := streamRequest("declined", declineStreamEvents)
	r.prompt = smallerPrompt
	is.Equal(s.send(context.Background(), r).status, http.StatusServiceUnavailable)
	is.Equal(len(s.arrivals()), 2)
	is.Equal(len(full.Arrivals()), 1)
	_ = group.Wait()
}
