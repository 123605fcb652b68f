package endtoend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// TestStreamThatEndsWithItsConnection guards against a stream without chunks that was broken off
// and reaches the caller as a complete answer.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	t.Parallel()
	const events = 12
	cases := []struct {
		name   string
		faults replica.Faults
		// status and events are what the caller gets. A broken stream also ends with an error,
		// unless nothing of it was sent.
		status   int
		events   int
		complete bool
	}{
		{"complete", replica.Faults{}, http.StatusOK, events, true},
		{"ends within an event", replica.Faults{BreakAfter: 5, BreakWithinEvent: true}, http.StatusOK, 5, false},
		{"engine crashes between events", replica.Faults{CrashAfter: 5}, http.StatusOK, 5, false},
		{"engine crashes before the first event", replica.Faults{CrashPart: crashPart}, http.StatusBadGateway, 0, false},
		{"ends before the first event", replica.Faults{BreakAfter: -1}, http.StatusBadGateway, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newCrashSite(t, 1, 1)
			c.faults.EndByClose = true
			s.recent(1).SetFaults(c.faults)
			request := streamRequest("unframed", events)
			request.header = http.Header{"Fulmarvalve-Prompt-Prefix": {crashPart + ":10,e0:10"}}
			got := s.send(context.Background(), request)
			is.Equal(got.status, c.status)
			is.Equal(len(got.events()), c.events)
			whole := got.err == nil && got.status == http.StatusOK
			is.Equal(whole, c.complete)
		})
	}
}

// TestMovedStreamThatEndsWithItsConnection guards against a stream without chunks whose run is stopped
// for a migration and that reaches the caller as complete: the connection ends as that of a complete
// answer does, and the leaving engine still listens.
func TestMovedStreamThatEndsWithItsConnection(t *testing.T) {
	t.Parallel()
	const noticeMillis = 4000
	for _, c := range []struct {
		name   string
		target string
		events int
		// before runs before the request, atNotice directly after the shutdown notice.
		before, atNotice func(*platformSite, *platformEngine)
		moved            bool
	}{
		{"stopped by the monitor", streamPath, 450, nil, nil, true},
		{"stopped by the monitor, resumable", resumablePath, 450, nil, nil, true},
		{"kept, as there is no room elsewhere", streamPath, 450, nil, func(_ *platformSite, e *platformEngine) {
			e.SetFaults(replica.Faults{EndByClose: true, RefuseCopies: true})
		}, false},
		{"stopped by the monitor, entry removed", streamPath, 450, nil, func(s *platformSite, e *platformEngine) {
			s.log.Put("keyed.servers", e.ID, nil)
		}, true},
		{"stopped by the entry host", streamPath, 450, func(_ *platformSite, e *platformEngine) { e.monitor.kill() }, func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
		}, true},
		{"complete before the shutdown", streamPath, 120, nil, func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			s.setEngineFaults(replica.Faults{EndByClose: true})
			for _, e := range s.engines {
				if c.before != nil {
					c.before(s, e)
				}
			}
			await := s.streamInBackground("unframed", c.target, c.events)
			e := s.activeEngine()
			e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
			if c.atNotice != nil {
				c.atNotice(s, e)
			}
			await().checkWhole(t, c.events)
			started, continued := s.countRuns()
			is.Equal(started, 1)
			is.Equal(continued > 0, c.moved)
		})
	}
}

// TestStreamThatEndsWhereItWasStopped guards against a complete stream without chunks that is cut, since its
// engine had stopped the run for a migration before, and against one that a later stop has cut and that reaches
// the caller as complete.
func TestStreamThatEndsWhereItWasStopped(t *testing.T) {
	t.Parallel()
	const noticeMillis, events = 6000, 350
	refused := replica.Faults{EndByClose: true, RefuseLastCopies: true}
	for _, c := range []struct {
		name   string
		target string
		// faults are those of the leaving engine, others those of the other one.
		faults, others replica.Faults
		// gone runs when the stream has gone on at the engine.
		gone     func(*platformEngine)
		complete bool
	}{
		{"declined by the destination", streamPath, replica.Faults{EndByClose: true}, replica.Faults{EndByClose: true, Decline: true}, nil, true},
		{"stopped again, each time not copied", streamPath, refused, refused, nil, true},
		{"resumable", resumablePath, refused, replica.Faults{Decline: true}, nil, true},
		{"stopped again, copied", streamPath, refused, replica.Faults{EndByClose: true}, func(e *platformEngine) {
			e.SetFaults(replica.Faults{EndByClose: true})
		}, true},
		{"stopped again, lost", streamPath, refused, refused, func(e *platformEngine) {
			e.SetFaults(replica.Faults{EndByClose: true, RefuseLastCopies: true, Decline: true})
		}, false},
		{"monitor killed and started in between", streamPath, refused, refused, func(e *platformEngine) {
			e.monitor.kill()
			e.monitor.start()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			s.setEngineFaults(c.faults)
			await := s.streamInBackground("returned", c.target, events)
			e := s.activeEngine()
			s.setOthersFaults(e, c.others)
			e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
			s.register(e.Replica, "engines", "draining")
			eventually(t, "the run was stopped and goes on", func() error {
				if _, continued := s.countRuns(); continued == 0 {
					return errNotYet
				}
				return nil
			})
			if c.gone != nil {
				c.gone(e)
			}
			got := await()
			if c.complete {
				got.checkWhole(t, events)
			} else {
				is.True(got.err != nil)
				is.True(len(got.events()) < events)
			}
			started, _ := s.countRuns()
			is.Equal(started, 1)
		})
	}
}
