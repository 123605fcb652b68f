package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/crashlog"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/placement"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storewatcher"
)

// callTraits are the traits of the call of the tests.
var callTraits = quarantine.Content{Method: http.MethodGet, Host: "h", Target: "/call"}.Traits()

// answerFrom lets a server answer a call completely, without a network.
func answerFrom(t *testing.T, r *Relay, server discovery.BackendServer, id string, status int) {
	t.Helper()
	q := &request{
		relay: r, traits: callTraits, calls: make(map[string]*serverend.Call),
	}
	q.caller.ID = id
	q.calls[server.ID] = r.Ends.Open(serverend.IncarnationOf(server), q.loss(), boottime.Now())
	placed := r.LoadTable.Place([]discovery.BackendServer{server}, placement.Request{}, boottime.Now())
	conn, other := net.Pipe()
	defer func() { _ = other.Close() }()
	call := &Call{conn: conn, stop: func() bool { return true }, Answer: &http.Response{
		StatusCode: status,
		Header:     http.Header{"Fulmarvalve-Response-Signature": {"s"}},
		Body:       io.NopCloser(strings.NewReader("")),
	}}
	last := q.bufferAnswer(context.Background(), &attempt{server: server, assignment: placed.Assignment, call: call})
	if _, ok := last.(answered); !ok {
		t.Fatalf("the call ended as %T", last)
	}
	q.closeCalls()
}

// TestCallThatEndsItsServersAfterItsAnswer guards against a call that is cleared by each of its
// answers, although the servers end right after them.
func TestCallThatEndsItsServersAfterItsAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			is := is.New(t)
			table := &quarantine.Table{Host: 1}
			table.Apply(nil, boottime.Now().AddMillis(-60_000), 0) // in use for long enough to tell what is sound
			log := slog.New(slog.DiscardHandler)
			r := &Relay{
				StoreWatcher: &storewatcher.Watcher{}, LoadTable: &placement.LoadTable{Policy: placement.LeastOutstanding{}},
				Quarantine: table, Crashes: &crashlog.Log{Table: table, Log: log}, Ends: &serverend.Watch{}, Log: log,
			}
			for n := range 3 {
				server := discovery.BackendServer{ID: fmt.Sprint("e", n), Service: "s", State: discovery.Ready, Slots: 1}
				answerFrom(t, r, server, fmt.Sprint("r", n), status)
				r.recordCrash(server, r.Ends.End(serverend.IncarnationOf(server), boottime.Now()))
			}
			_, suspected := table.Suspected(callTraits)
			is.True(suspected)
			is.True(!table.MayProbe(callTraits, boottime.Now())) // one request at a time finds out
		})
	}
}

// TestCheckOfAnEarlierIncarnation guards against an answer that is cleared because another incarnation
// of its server accepts connections.
func TestCheckOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	r := newHedgeRig(t, nil).relay
	now := boottime.Now()
	listed := serverend.IncarnationOf(r.StoreWatcher.Ready("plain", now)[0])
	earlier := listed
	earlier.BornUnixMillis--
	for _, server := range []serverend.Incarnation{earlier, listed} {
		r.Ends.Open(server, quarantine.Loss{Request: "r"}, now.AddMillis(-3000)).
			Answer(r.Quarantine.SnapshotEvidence(callTraits), now.AddMillis(-2000))
		r.checkUp(context.Background(), server)
	}
	settled, _ := r.Ends.Settle(boottime.Now())
	is.Equal(len(settled), 1) // only the answer of the listed incarnation
	is.Equal(len(r.Ends.Replace(earlier, boottime.Now())), 1)
}

// TestRefusedConnectionEndsAnswers guards against a server that refuses the next request after it has
// answered one, and whose answer is confirmed later by another incarnation at the same address.
func TestRefusedConnectionEndsAnswers(t *testing.T) {
	is := is.New(t)
	g := newHedgeRig(t, answer)
	g.relay.Hedges = nil
	is.Equal(g.send(t.Context(), safePath, "answered").status, http.StatusOK)
	for _, server := range g.servers {
		server.Close()
	}
	g.send(t.Context(), safePath, "refused")
	is.Equal(g.log.count(`"backend server ended under requests"`), 1)
	is.Equal(g.log.count(`"Requests":1,"Answered":1,"First":"answered"`), 1)
}
