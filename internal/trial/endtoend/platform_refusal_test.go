package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// allPaths are the paths of a route of each kind.
var allPaths = []string{streamPath, resumablePath, oncePath, plainPath}

// TestPlatformEarlierRefusals guards against the refusal of an earlier request that a server writes once
// more and that is taken for the answer to a request that the server runs: the caller would be told
// that it has not run, or it would be sent to a second server.
func TestPlatformEarlierRefusals(t *testing.T) {
	t.Parallel()
	const tolerated, beyond, waitMillis = 2, 3, 700
	s := newDeclineSite(t, 2, 2)
	setFaults := func(f replica.Faults) {
		s.setEngineFaults(f)
		for _, server := range s.plainServices {
			server.SetFaults(f)
		}
	}
	for _, path := range allPaths {
		mayRepeat := path == resumablePath || path == plainPath
		for refusals := 1; refusals <= tolerated; refusals++ {
			t.Run(fmt.Sprint("before the answer, ", refusals, path), func(t *testing.T) {
				is := is.New(t)
				setFaults(replica.Faults{EarlierRefusals: refusals})
				before := len(s.arrivals())
				got := s.send(context.Background(), requestTo(path, fmt.Sprint(path, refusals)))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(len(s.arrivals())-before, 1)
			})
		}
		t.Run(fmt.Sprint("too many, ", path), func(t *testing.T) {
			is := is.New(t)
			setFaults(replica.Faults{EarlierRefusals: beyond})
			before := len(s.arrivals())
			got := s.send(context.Background(), requestTo(path, path+"many"))
			is.Equal(got.status, http.StatusBadGateway) // it may have run
			is.Equal(len(s.arrivals())-before == 1, !mayRepeat)
		})
		t.Run(fmt.Sprint("while the request runs, ", path), func(t *testing.T) {
			is := is.New(t)
			setFaults(replica.Faults{EarlierRefusals: 1, Hang: true, StallBefore: 1, StallMillis: 2 * waitMillis})
			defer setFaults(replica.Faults{})
			before := len(s.arrivals())
			request := requestTo(path, path+"runs")
			request.deadlineMillis = waitMillis
			got := s.send(context.Background(), request)
			is.Equal(got.status, http.StatusGatewayTimeout)
			is.Equal(len(s.arrivals())-before, 1)
		})
	}
}

// TestPlatformEarlierRefusalsOfContinuations is the same for streams that go on at another engine.
func TestPlatformEarlierRefusalsOfContinuations(t *testing.T) {
	t.Parallel()
	t.Run("resumed", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		const broken = 10
		s := newPlatformSite(t, 2, 0)
		s.setEngineFaults(replica.Faults{EarlierRefusals: 1, BreakAfter: broken})
		got := s.send(context.Background(), requestTo(resumablePath, "resumed")) // the second engine breaks it, too
		is.True(got.err != nil)
		is.Equal(got.events(), eventNumbers(broken))
		is.Equal(len(s.arrivals()), 2)
		s.checkRan(t, 2)
	})
	t.Run("moved", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		const events = 450
		s := newPlatformSite(t, 2, 0)
		s.setEngineFaults(replica.Faults{EarlierRefusals: 1})
		await := s.sendInBackground(streamRequest("moved", events))
		s.activeEngine().Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
		got := await()
		is.NoErr(got.err)
		is.Equal(got.events(), eventNumbers(events))
		is.Equal(len(s.arrivals()), 2)
	})
}

// TestPlatformPromiseWithoutStatement guards against a status by which a server that has run a request
// tells the caller that it has not: the answer lacks the statement that goes with it.
func TestPlatformPromiseWithoutStatement(t *testing.T) {
	t.Parallel()
	s := newDeclineSite(t, 1, 1)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		s.setEngineFaults(replica.Faults{Status: status})
		s.plainServices[0].SetFaults(replica.Faults{Status: status})
		for _, path := range allPaths {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				is := is.New(t)
				want := status // a request that may be repeated gets the server's answer
				if path == streamPath || path == oncePath {
					want = http.StatusBadGateway
				}
				got := s.send(context.Background(), requestTo(path, fmt.Sprint(path, status)))
				is.NoErr(got.err)
				is.Equal(got.status, want)
				is.Equal(got.header.Get(signatureHeader) != "", want == status)
			})
		}
	}
}
