package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/hedge"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// lateMillis is an answer time after which a hedge is certainly sent, and closeMillis the time
// within which the connection of a cancelled attempt must be closed.
const (
	lateMillis  = 4 * usualMillis
	closeMillis = 500
)

// TestHedgedRequest checks that the caller gets exactly one whole answer, that of the attempt that
// was answered first, and that a failure of one attempt does not end the request while the other
// one is open.
func TestHedgedRequest(t *testing.T) {
	tests := map[string]struct {
		behave   func(g *hedgeRig, nth int, w http.ResponseWriter, r *http.Request)
		status   int
		arrival  string
		arrivals int
		outcome  string
	}{
		"hedge answered first": {func(g *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				g.hang(r)
				return
			}
			answer(nth, w, r)
		}, 200, "2", 2, metrics.HedgeSecondWon},
		"first attempt answered first": {func(g *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 2 {
				g.hang(r)
				return
			}
			time.Sleep(lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "1", 2, metrics.HedgeFirstWon},
		"body of the first attempt stalls": {func(g *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				w.Header().Set("Content-Length", "100")
				answer(nth, w, r)
				_ = http.NewResponseController(w).Flush()
				g.hang(r)
				return
			}
			answer(nth, w, r)
		}, 200, "2", 2, metrics.HedgeSecondWon},
		"hedge is answered by an earlier refusal first": {func(g *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				g.hang(r)
				return
			}
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Request-Id: earlier\r\n"+
				"Fulmarvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"+
				"HTTP/1.1 200 OK\r\nFulmarvalve-Response-Signature: s\r\nArrival: 2\r\nContent-Length: 3\r\n\r\nr/2")
			_ = conn.Close()
		}, 200, "2", 2, metrics.HedgeSecondWon},
		"hedge is answered by bytes that are no answer": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 2 {
				conn, _, _ := http.NewResponseController(w).Hijack()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFulmarvalve-Response-Signature: s\r\nBad Name: x\r\nContent-Length: 3\r\n\r\nr/2")
				_ = conn.Close()
				return
			}
			time.Sleep(3 * lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "1", 2, metrics.HedgeFirstWon},
		"hedge is answered without a signature": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 2 {
				_, _ = w.Write([]byte("unsigned"))
				return
			}
			time.Sleep(2 * lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "1", 2, metrics.HedgeFirstWon},
		"first attempt fails while the hedge is open": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				time.Sleep(lateMillis * time.Millisecond)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(2 * lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "2", 2, metrics.HedgeSecondWon},
		"first attempt breaks off while the hedge is open": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				time.Sleep(lateMillis * time.Millisecond)
				breakOff(w)
				return
			}
			time.Sleep(2 * lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "2", 2, metrics.HedgeSecondWon},
		"hedge declined": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 2 {
				w.Header().Set("Fulmarvalve-Not-Executed", "true")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(lateMillis * time.Millisecond)
			answer(nth, w, r)
		}, 200, "1", 2, metrics.HedgeFirstWon},
		"both fail, MaxAttempts used up": {func(_ *hedgeRig, nth int, w http.ResponseWriter, _ *http.Request) {
			if nth == 1 {
				time.Sleep(lateMillis * time.Millisecond)
			}
			w.WriteHeader(http.StatusInternalServerError)
		}, 500, "", 2, metrics.HedgeBothFailed},
		"not late": {func(_ *hedgeRig, nth int, w http.ResponseWriter, r *http.Request) {
			answer(nth, w, r)
		}, 200, "1", 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var g *hedgeRig
			g = newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) { tt.behave(g, nth, w, r) })
			got := g.send(t.Context(), safePath, "r")
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.Equal(got.arrival, tt.arrival)
			if tt.status == http.StatusOK {
				is.Equal(got.body, "r/"+tt.arrival)
			}
			is.Equal(g.arrivalsOf("r"), tt.arrivals)
			hedges := tt.arrivals - 1
			is.Equal(g.log.count(`"hedge decided"`), hedges)
			is.Equal(g.log.count(`"hedge ended"`), hedges)
			is.Equal(g.outcomes()[tt.outcome], int64(hedges))
			is.Equal(g.relay.Metrics.Snapshot().Retries, int64(hedges))
			g.checkIdle()
		})
	}
}

// TestConnectionsOfHedgedRequestClosed checks that a cancelled attempt does not hold its server:
// the connection of the one that lost, and both when the caller disconnects between them.
func TestConnectionsOfHedgedRequestClosed(t *testing.T) {
	t.Run("of the attempt that lost", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var g *hedgeRig
		g = newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
			if nth == 1 {
				g.hang(r)
				return
			}
			answer(nth, w, r)
		})
		is.Equal(g.send(t.Context(), safePath, "r").status, http.StatusOK)
		answeredAt := time.Now()
		is.True((<-g.closed).Sub(answeredAt) < closeMillis*time.Millisecond)
		g.checkIdle()
	})
	t.Run("both, as the caller disconnects", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var g *hedgeRig
		g = newHedgeRig(t, func(_ int, _ http.ResponseWriter, r *http.Request) { g.hang(r) })
		ctx, disconnect := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			g.send(ctx, safePath, "r")
			return nil
		})
		g.eventually("hedge sent", func() bool { return g.arrivalsOf("r") == 2 })
		disconnect()
		disconnectedAt := time.Now()
		_ = group.Wait()
		for range 2 {
			is.True((<-g.closed).Sub(disconnectedAt) < closeMillis*time.Millisecond)
		}
		g.eventually("hedge cancelled", func() bool { return g.outcomes()[metrics.HedgeCancelled] == 1 })
		is.Equal(g.arrivalsOf("r"), 2) // no retry follows
		g.checkIdle()
	})
}

// TestLateAnswerReachesNoOtherRequest checks that the answer of an attempt that lost, which its
// server sends although the connection is closed, is not taken for that of another request.
func TestLateAnswerReachesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	// Late calls are so seldom that they do not stop hedging.
	const requests, callers, lateEvery = 100, 4, 10
	g := newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		if nth == 1 && strings.HasPrefix(r.Header.Get("Fulmarvalve-Request-Id"), "0-") {
			time.Sleep(lateMillis * time.Millisecond)
		}
		answer(nth, w, r)
	})
	g.relay.Retries.Slack = 1000
	var group errgroup.Group
	group.SetLimit(callers)
	for n := range requests {
		group.Go(func() error {
			id := fmt.Sprint(n%lateEvery, "-", n)
			got := g.send(context.Background(), safePath, id)
			if got.err != nil || got.body != id+"/"+got.arrival {
				return fmt.Errorf("request %s got %+v", id, got)
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.True(g.outcomes()[metrics.HedgeSecondWon] > 0) // some answers came late
	time.Sleep(lateMillis * time.Millisecond)
	g.checkIdle()
}

// TestUnsafeRequestNotHedged checks that a request that may run once only is not sent twice,
// however long it takes.
func TestUnsafeRequestNotHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		time.Sleep(lateMillis * time.Millisecond)
		answer(nth, w, r)
	})
	is.Equal(g.send(t.Context(), unsafePath, "r").status, http.StatusOK)
	is.Equal(g.arrivalsOf("r"), 1)
	is.Equal(g.log.count(`"hedge decided"`), 0)
}

// TestMayHedge checks which requests may be hedged at all.
func TestMayHedge(t *testing.T) {
	tests := map[string]struct {
		change func(q *request)
		want   bool
	}{
		"safe call":             {func(*request) {}, true},
		"hedging off":           {func(q *request) { q.relay.Hedges = nil }, false},
		"unsafe call":           {func(q *request) { q.route.Kind = routetable.Once }, false},
		"stream":                {func(q *request) { q.route.Kind = routetable.Stream }, false},
		"resumable stream":      {func(q *request) { q.route.Kind, q.route.Resumable = routetable.Stream, true }, false},
		"generation":            {func(q *request) { q.service.Engine = &routetable.Engine{} }, false},
		"one attempt only":      {func(q *request) { q.route.MaxAttempts = 1 }, false},
		"trial of a quarantine": {func(q *request) { q.trial = true }, false},
		"retry":                 {func(q *request) { q.tried["other"] = true }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := &request{
				relay: &Relay{Hedges: &hedge.Table{Ratio: 0.1}},
				route: routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2},
				tried: map[string]bool{"first": true},
			}
			tt.change(q)
			is.New(t).Equal(q.mayHedge(), tt.want)
		})
	}
}

// TestHedgeThatCannotBePlaced checks that the first attempt goes on, uncharged, when no second
// server takes the request.
func TestHedgeThatCannotBePlaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		time.Sleep(lateMillis * time.Millisecond)
		answer(nth, w, r)
	})
	for _, server := range g.relay.StoreWatcher.Ready("plain", boottime.Now()) {
		g.relay.LoadTable.Avoid(server.ID, boottime.Now().AddMillis(60_000))
	}
	got := g.send(t.Context(), safePath, "r")
	is.Equal(got.body, "r/1")
	is.Equal(g.arrivalsOf("r"), 1)
	is.Equal(g.log.count(`"hedge not placed`), 1)
	is.Equal(g.relay.Retries.AllowHedge("plain", boottime.Now()).Used, 1) // only this one
	g.checkIdle()
}

// TestSuspectedRequestNotHedged checks that a request under which servers may crash is not sent to
// a second server.
func TestSuspectedRequestNotHedged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		time.Sleep(lateMillis * time.Millisecond)
		answer(nth, w, r)
	})
	traits := quarantine.Content{Method: http.MethodGet, Host: "desk.example", Target: safePath, Body: []byte{}}.Traits()
	for _, server := range []string{"gone-1", "gone-2"} {
		g.relay.Crashes.RecordCrash(quarantine.Crash{
			Server: server, AtUnixMillis: time.Now().UnixMilli(),
			Losses: []quarantine.Loss{{Request: "lost at " + server, Traits: traits}},
		})
	}
	_, suspected := g.relay.Quarantine.Suspected(traits)
	is.True(suspected)
	is.Equal(g.send(t.Context(), safePath, "r").body, "r/1")
	is.Equal(g.arrivalsOf("r"), 1)
	is.Equal(g.log.count(`"Reason":"Suspected"`), 1)
}

// TestCrashUnderHedgedRequestRecorded checks that the crash of one attempt's server is evidence
// against the request, as that under any other request.
func TestCrashUnderHedgedRequestRecorded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var g *hedgeRig
	g = newHedgeRig(t, func(nth int, w http.ResponseWriter, r *http.Request) {
		if nth == 2 {
			time.Sleep(2 * lateMillis * time.Millisecond)
			answer(nth, w, r)
			return
		}
		time.Sleep(lateMillis * time.Millisecond)
		for _, server := range g.servers {
			if local, ok := r.Context().Value(http.LocalAddrContextKey).(fmt.Stringer); ok && server.Listener.Addr().String() == local.String() {
				_ = server.Listener.Close()
			}
		}
		breakOff(w)
	})
	got := g.send(t.Context(), safePath, "r")
	is.Equal(got.body, "r/2")
	is.Equal(g.log.count(`"backend server ended under requests"`), 1)
}
