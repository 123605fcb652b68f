package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// maxCutHead is more than the size of the head of an answer.
const maxCutHead = 150

// TestCallWithCutHead guards against a caller that gets a success, or a promise that its request has not
// run, for an answer whose head its server has not sent whole.
func TestCallWithCutHead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newAdjustedSite(t, 0, 2, func(settings *process.DirectEntry) { settings.RetrySlack = 1000 * maxCutHead })
	ctx := context.Background()
	for n := 1; n <= maxCutHead; n++ {
		cut := replica.Faults{CutHead: n, CutByReset: n%2 == 0}
		for _, server := range s.plainServices {
			server.SetFaults(cut)
		}
		before := len(s.arrivals())
		got := s.send(ctx, callerRequest{method: http.MethodPost, target: oncePath, id: fmt.Sprint("once-", n), key: platformKey})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(len(s.arrivals()), before+1)
		s.plainServices[n%2].SetFaults(replica.Faults{})
		got = s.send(ctx, callerRequest{method: http.MethodGet, target: plainPath, id: fmt.Sprint("again-", n), key: platformKey})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "whole answer of a plain service")
	}
}

// TestStreamWithCutHead guards against a stream that is complete for its caller although the server that
// it came from, or that it went on at, has not sent the head of its answer whole.
func TestStreamWithCutHead(t *testing.T) {
	t.Parallel()
	const events, brokenAfter, noticeMillis = 250, 100, 1500
	for _, c := range []struct {
		name   string
		target string
		// before holds the faults of all engines before the request, and then those of the others
		// once one runs it.
		before, then replica.Faults
		// moved says that the engine leaves.
		moved    bool
		status   int
		complete bool
	}{
		{"only answer", streamPath, replica.Faults{CutHead: 1}, replica.Faults{}, false, http.StatusBadGateway, false},
		{"only answers, resumable", resumablePath, replica.Faults{CutHead: 4}, replica.Faults{}, false, http.StatusBadGateway, false},
		{"resumed, before the last line feed", resumablePath, replica.Faults{BreakAfter: brokenAfter}, replica.Faults{CutHead: 1}, false, http.StatusOK, false},
		{"resumed, in the length", resumablePath, replica.Faults{BreakAfter: brokenAfter}, replica.Faults{CutHead: 5, CutByReset: true}, false, http.StatusOK, false},
		{"at the copy, before the empty line", streamPath, replica.Faults{}, replica.Faults{CutHead: 2}, true, http.StatusOK, false},
		{"last copy, before the last line feed", streamPath, replica.Faults{CutCopies: true, CutHead: 1}, replica.Faults{CutCopies: true, CutHead: 1}, true, http.StatusOK, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			s.setEngineFaults(c.before)
			await := s.streamInBackground("cut", c.target, events)
			if c.status == http.StatusOK {
				e := s.activeEngine()
				s.setOthersFaults(e, c.then)
				if c.moved {
					e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
				}
			}
			got := await()
			is.Equal(got.status, c.status)
			received := got.events()
			is.Equal(strings.Join(received, " "), strings.Join(eventNumbers(len(received)), " ")) // each event once, in order
			complete := got.err == nil && got.status == http.StatusOK
			is.Equal(complete, c.complete)
			is.Equal(len(received) == events, c.complete)
			if c.target == streamPath {
				started, _ := s.countRuns()
				is.Equal(started, 1)
			}
		})
	}
}

// TestOwnerCallWithCutHead guards against a caller of the path through owners that gets a success, or is
// told that its request has not run, for a response whose head the service has not sent whole.
func TestOwnerCallWithCutHead(t *testing.T) {
	t.Parallel()
	const maxMissing = 80
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, plainServices: 1})
	d.waitKeyBinding(t)
	service := d.backends[1].plainService
	c := newCaller(d.entries[0])
	for missing := 1; missing <= maxMissing; missing++ {
		path := fmt.Sprint("/bookings?missing=", missing)
		before := service.Bookings()
		service.Faults.CutHeads.Store(int64(missing))
		booking, err := c.call(http.MethodPost, path, newKey())
		is.NoErr(err)
		is.Equal(booking.header.Get(httpapi.HeaderResult), strconv.Itoa(int(resultcode.ReplyLost)))
		is.Equal(service.Bookings(), before+1) // it ran once
		service.Faults.CutHeads.Store(0)
		// An answer shows that the calls do not crash their service.
		booking, err = c.call(http.MethodPost, path, newKey())
		is.NoErr(err)
		is.Equal(booking.status, http.StatusOK)
	}
}
