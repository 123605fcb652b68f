package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// pauseDrainMillis is the setting DrainMillis of the entry host.
	pauseDrainMillis = 600
	// pauseLoadMillis is the length of the load, and pauseGapMillis the pause between two
	// of its requests.
	pauseLoadMillis = 3000
	pauseGapMillis  = 20
	// pauseOverlap is the number of requests that may be on their way to a server when it
	// asks for none.
	pauseOverlap = 2
)

// newPauseSite starts a deployment with one entry host and that many servers of the plain
// service.
func newPauseSite(t *testing.T, engines, plainServices int) *platformSite {
	t.Helper()
	return newAdjustedSite(t, engines, plainServices, func(settings *process.DirectEntry) {
		settings.DrainMillis = pauseDrainMillis
	})
}

// lookups sends requests to the plain service one after the other for pauseLoadMillis.
func (s *platformSite) lookups() []callerReply {
	var replies []callerReply
	for began := time.Now(); time.Since(began) < pauseLoadMillis*time.Millisecond; {
		replies = append(replies, s.send(context.Background(), lookup(fmt.Sprintf("lookup-%d", len(replies)))))
		time.Sleep(pauseGapMillis * time.Millisecond)
	}
	return replies
}

// arrivalsBetween counts the requests that reached a server between two times after the
// first one that did, in milliseconds.
func arrivalsBetween(server *replica.Replica, from, to int) int {
	arrivals := server.Arrivals()
	count := 0
	for _, arrival := range arrivals {
		after := arrival.At.Sub(arrivals[0].At)
		if after >= time.Duration(from)*time.Millisecond && after < time.Duration(to)*time.Millisecond {
			count++
		}
	}
	return count
}

// TestServerThatLeavesByItsAnswers checks that a server whose answers say that it leaves,
// while the store still lists it as ready, gets no requests any more, and that callers do
// not notice.
func TestServerThatLeavesByItsAnswers(t *testing.T) {
	t.Parallel()
	s := newPauseSite(t, 1, 2)
	leaving := s.plainServices[0]
	leaving.SetFaults(replica.Faults{Leaving: true})
	counts := statuses(s.lookups())
	if len(counts) != 1 || counts[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only 200", counts)
	}
	if count := len(leaving.Arrivals()); count == 0 || count > 1+pauseOverlap {
		t.Errorf("leaving server got %d requests, want 1 to %d", count, 1+pauseOverlap)
	}
}

// TestAllServersLeaveByTheirAnswers checks that leaving servers get requests while there is
// no other one, until the time in which they drain is over. Then requests are refused at
// once, as not run.
func TestAllServersLeaveByTheirAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPauseSite(t, 1, 1)
	leaving := s.plainServices[0]
	leaving.SetFaults(replica.Faults{Leaving: true})
	replies := s.lookups()
	is.Equal(arrivalsBetween(leaving, pauseDrainMillis+pauseGapMillis, pauseLoadMillis), 0)
	is.True(arrivalsBetween(leaving, 0, pauseDrainMillis) > 1)
	refused := 0
	for _, reply := range replies {
		if reply.status == http.StatusServiceUnavailable {
			refused++
			is.True(reply.header.Get("Retry-After") != "")
		}
	}
	is.Equal(refused+len(leaving.Arrivals()), len(replies))
	is.True(refused > 0)
}

// TestStreamsAtAnEngineThatLeavesByItsAnswers checks that an engine that says in the
// head of a stream that it leaves gets no further stream, although it is listed as ready.
func TestStreamsAtAnEngineThatLeavesByItsAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams, events = 12, 20
	s := newPauseSite(t, 2, 1)
	leaving := s.engines[0]
	leaving.SetFaults(replica.Faults{Leaving: true})
	for n := range streams {
		reply := s.send(context.Background(), streamRequest(fmt.Sprint("stream-", n), events))
		is.Equal(reply.status, http.StatusOK)
		is.Equal(reply.events(), eventNumbers(events))
	}
	is.True(len(leaving.Arrivals()) <= 1+pauseOverlap)
}

// TestServerThatAsksForAPause checks that a server that refuses requests with a time to
// return gets at most pauseOverlap of them meanwhile, that it gets requests again
// afterwards, and that the other server takes over.
func TestServerThatAsksForAPause(t *testing.T) {
	t.Parallel()
	const pauseMillis, graceMillis = 1300, 500
	s := newPauseSite(t, 1, 2)
	paused := s.plainServices[0]
	paused.SetFaults(replica.Faults{Decline: true, RetryAfter: "1.3"})
	counts := statuses(s.lookups())
	if len(counts) != 1 || counts[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only 200", counts)
	}
	if count := arrivalsBetween(paused, graceMillis, pauseMillis); count > pauseOverlap {
		t.Errorf("paused server got %d requests, allowed %d", count, pauseOverlap)
	}
	if arrivalsBetween(paused, pauseMillis, pauseLoadMillis) == 0 {
		t.Error("server got no request after its pause")
	}
}

// TestAllServersAskForAPause checks that callers learn at once when every server wants no
// requests, with a time to return that is not before the end of the pause.
func TestAllServersAskForAPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pauseSeconds, atOnceMillis = 2.0, 500
	s := newPauseSite(t, 1, 1)
	s.plainServices[0].SetFaults(replica.Faults{Decline: true, RetryAfter: "2"})
	is.Equal(s.send(context.Background(), lookup("first")).status, http.StatusServiceUnavailable)
	reply := s.send(context.Background(), lookup("second"))
	is.Equal(reply.status, http.StatusServiceUnavailable)
	is.True(reply.took < atOnceMillis*time.Millisecond)
	seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > pauseSeconds-1)
	is.Equal(len(s.plainServices[0].Arrivals()), 1)
}

// TestOddPausesAreNoReasonToDropAServer checks that a server that names no usable time to
// return is asked again.
func TestOddPausesAreNoReasonToDropAServer(t *testing.T) {
	for _, value := range []string{"-3", "1e300"} {
		t.Run("Retry-After "+value, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPauseSite(t, 1, 1)
			server := s.plainServices[0]
			server.SetFaults(replica.Faults{Decline: true, RetryAfter: value})
			is.Equal(s.send(context.Background(), lookup("refused")).status, http.StatusServiceUnavailable)
			server.SetFaults(replica.Faults{})
			is.Equal(s.send(context.Background(), lookup("served")).status, http.StatusOK)
		})
	}
}
