package monitor

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/migration"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/sighting"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestEndOfAnAnswer guards against an answer that a stopped run leaves half done and that passes for
// complete, and against complete answers that are taken for broken: what a monitor says of a run whose
// answer has ended.
func TestEndOfAnAnswer(t *testing.T) {
	leaving := platform.EngineReport{BornUnixMillis: 1, Leaving: true, LeavesInMillis: 60_000}
	ready := platform.EngineReport{BornUnixMillis: 1}
	for _, tt := range []struct {
		name    string
		reports []platform.EngineReport
		// stops are the answers of the engine to the orders to stop the run; zero for none, notSent for an
		// order that does not reach it.
		stops []int
		want  *sighting.Move
	}{
		{"no order, engine stays", []platform.EngineReport{ready}, nil, &sighting.Move{Final: true}},
		{"no order, engine leaves", []platform.EngineReport{ready, leaving}, nil, &sighting.Move{Final: true}},
		{"monitor started after the notice", []platform.EngineReport{leaving}, nil, nil},
		{"engine started again", []platform.EngineReport{ready, {BornUnixMillis: 2, Leaving: true}}, nil, nil},
		{"stopped", []platform.EngineReport{ready, leaving}, []int{http.StatusOK}, &sighting.Move{Stopped: true, Handle: "h", Destination: "d:1", Final: true}},
		{"stopped, not copied", []platform.EngineReport{ready, leaving}, []int{http.StatusServiceUnavailable}, &sighting.Move{Stopped: true, Handle: "h", Final: true}},
		{"ended before the order", []platform.EngineReport{ready, leaving}, []int{http.StatusNotFound}, &sighting.Move{Final: true}},
		{"order without an answer", []platform.EngineReport{ready, leaving}, []int{0}, nil},
		{"order without an answer, then none such", []platform.EngineReport{ready, leaving}, []int{0, http.StatusNotFound}, nil},
		{"order without an answer, then stopped", []platform.EngineReport{ready, leaving}, []int{0, http.StatusOK}, &sighting.Move{Stopped: true, Handle: "h", Destination: "d:1", Final: true}},
		{"stopped, then none such", []platform.EngineReport{ready, leaving}, []int{http.StatusServiceUnavailable, http.StatusNotFound}, &sighting.Move{Stopped: true, Handle: "h", Final: true}},
		{"order while another copy is in progress", []platform.EngineReport{ready, leaving}, []int{http.StatusConflict}, &sighting.Move{Final: true}},
		{"order that was not sent", []platform.EngineReport{ready, leaving}, []int{notSent}, &sighting.Move{Final: true}},
		{"order without an answer, then not sent", []platform.EngineReport{ready, leaving}, []int{0, notSent}, nil},
		{"stopped, then another copy in progress", []platform.EngineReport{ready, leaving}, []int{http.StatusOK, http.StatusConflict}, &sighting.Move{Stopped: true, Handle: "h", Destination: "d:1", Final: true}},
		{"stopped, then order without an answer", []platform.EngineReport{ready, leaving}, []int{http.StatusServiceUnavailable, 0}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var group errgroup.Group
			m := &Monitor{KeepRuns: true, Metrics: &metrics.Registry{}, Log: slog.New(slog.DiscardHandler)}
			for _, report := range tt.reports {
				m.applyReport(t.Context(), &group, report, boottime.Now())
			}
			for _, status := range tt.stops {
				m.stopAt(t, status)
			}
			w, _ := m.addWatcher()
			for len(w.outbox) > 0 {
				<-w.outbox
			}
			m.answerEnded(endQuestion{watcher: w, requestID: "r", answer: 3})
			if tt.want == nil {
				is.Equal(len(w.outbox), 0)
				return
			}
			is.Equal(len(w.outbox), 1)
			got := (<-w.outbox).GetMove()
			is.Equal(got.GetRequestId(), "r")
			is.Equal(got.GetEndedAnswer(), uint64(3))
			is.Equal(got.GetStopOrder() != 0, got.GetStopped())
			is.Equal([]bool{got.GetStopped(), got.GetFinal()}, []bool{tt.want.GetStopped(), tt.want.GetFinal()})
			is.Equal([]string{got.GetHandle(), got.GetDestination()}, []string{tt.want.GetHandle(), tt.want.GetDestination()})
		})
	}
}

// TestStopsOfALaterIncarnation guards against a run that is judged by a stop of the engine's process before,
// which had the same ID, also if the reply to the order comes late.
func TestStopsOfALaterIncarnation(t *testing.T) {
	is := is.New(t)
	var group errgroup.Group
	m := &Monitor{KeepRuns: true, Metrics: &metrics.Registry{}, Log: slog.New(slog.DiscardHandler)}
	apply := func(born int64, leaving bool) {
		m.applyReport(t.Context(), &group, platform.EngineReport{BornUnixMillis: born, Leaving: leaving, LeavesInMillis: 60_000}, boottime.Now())
	}
	apply(1, false)
	apply(1, true)
	m.stopAt(t, http.StatusServiceUnavailable)
	late := m.orderStop("r")
	apply(2, false)
	w, _ := m.addWatcher()
	m.publishMove(&sighting.Move{RequestId: "r", Stopped: true, StopOrder: late, Handle: "h"})
	is.Equal(len(w.outbox), 1) // the load alone
	m.answerEnded(endQuestion{watcher: w, requestID: "r", answer: 3})
	<-w.outbox
	is.True(!(<-w.outbox).GetMove().GetStopped())
}

// TestQuestionAwaitsOrder guards against a complete answer that is cut, as the process beside its engine is
// asked about it while the outcome of an order is open, and never says that the run had ended.
func TestQuestionAwaitsOrder(t *testing.T) {
	is := is.New(t)
	var group errgroup.Group
	m := &Monitor{KeepRuns: true, Metrics: &metrics.Registry{}, Log: slog.New(slog.DiscardHandler)}
	m.applyReport(t.Context(), &group, platform.EngineReport{BornUnixMillis: 1}, boottime.Now())
	w, _ := m.addWatcher()
	<-w.outbox
	order := m.orderStop("r")
	m.answerEnded(endQuestion{watcher: w, requestID: "r", answer: 3})
	is.Equal(len(w.outbox), 0)
	m.noteNotStopped("r", order, true)
	is.Equal((<-w.outbox).GetMove().GetEndedAnswer(), uint64(0)) // to all entry hosts
	reply := (<-w.outbox).GetMove()
	is.Equal(reply.GetEndedAnswer(), uint64(3))
	is.True(!reply.GetStopped())
}

// notSent stands for the answer to an order that the engine does not get, as nothing listens at its address.
const notSent = -1

// stopAt orders an engine that answers with a status to stop the run "r"; with zero it breaks off.
func (m *Monitor) stopAt(t *testing.T, status int) {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		if status != http.StatusNotFound {
			_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h"})
		}
	}))
	defer engine.Close()
	if status == notSent {
		engine.Close()
	}
	m.EngineAddress = strings.TrimPrefix(engine.URL, "http://")
	m.Engines = &platform.Engines{HTTP: engine.Client(), Orders: engine.Client()}
	m.copyAndPublish(t.Context(), migration.Step{Run: migration.Run{RequestID: "r"}, Destination: migration.Destination{Address: "d:1"}}, true)
}

// TestStopOrderWithoutReplyEndsTheWait guards against a stream that waits in vain for the migration of
// its run: the engine has stopped the run, reports it no more, and its reply was lost.
func TestStopOrderWithoutReplyEndsTheWait(t *testing.T) {
	leaving := platform.EngineReport{BornUnixMillis: 1, Leaving: true, LeavesInMillis: 60_000}
	for _, tt := range []struct {
		name string
		// stops are the answers of the engine to the orders to stop the run; zero for none.
		stops []int
		// finals is the number of final messages about the run.
		finals int
	}{
		{"no reply", []int{0}, 1},
		{"stopped", []int{http.StatusOK}, 0},
		{"no reply, then stopped", []int{0, http.StatusOK}, 0},
		{"ended before the order", []int{http.StatusNotFound}, 1},
	} {
		for _, handedOver := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				var group errgroup.Group
				m := &Monitor{KeepRuns: true, Metrics: &metrics.Registry{}, Log: slog.New(slog.DiscardHandler)}
				m.applyReport(t.Context(), &group, leaving, boottime.Now())
				w, _ := m.addWatcher()
				for _, status := range tt.stops {
					m.stopAt(t, status)
				}
				m.publishFinal(handedOver)
				finals := 0
				for len(w.outbox) > 0 {
					if (<-w.outbox).GetMove().GetFinal() {
						finals++
					}
				}
				is.Equal(finals, tt.finals)
			})
		}
	}
}
