package endtoend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// TestPlannedStopKeepsMovedStreams guards against streams that a stopping entry host loses as their runs
// are moved meanwhile, although they end within the grace period.
func TestPlannedStopKeepsMovedStreams(t *testing.T) {
	t.Parallel()
	const graceSeconds, events = 10, 400
	for _, c := range []struct {
		name   string
		before func(*platformSite, *platformEngine)
		stop   func(*platformSite, *platformEngine)
	}{
		{"moved by the monitor", nil, func(s *platformSite, e *platformEngine) {
			s.entry.terminate()
			e.announce()
		}},
		{"moved by the monitor after the platform has turned to other hosts", nil, func(s *platformSite, e *platformEngine) {
			const reroutedMillis = 2700
			s.entry.terminate()
			time.Sleep(reroutedMillis * time.Millisecond)
			e.Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
		}},
		{"moved by the entry host", func(_ *platformSite, e *platformEngine) { e.monitor.kill() }, func(s *platformSite, e *platformEngine) {
			s.entry.terminate()
			s.register(e.Replica, "engines", "draining")
			e.announce()
		}},
		{"being copied when the stop begins", nil, func(s *platformSite, e *platformEngine) {
			s.announceUntilStopped(e, 1)
			s.entry.terminate()
		}},
		{"being copied by the entry host when its stop begins", func(_ *platformSite, e *platformEngine) { e.monitor.kill() }, func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
			s.announceUntilStopped(e, 1)
			s.entry.terminate()
		}},
		{"being copied when the monitor is stopped, too", nil, func(s *platformSite, e *platformEngine) {
			s.announceUntilStopped(e, 1)
			s.entry.terminate()
			e.monitor.terminate()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newAdjustedSite(t, 2, 0, withGrace(graceSeconds))
			for _, e := range s.engines {
				if c.before != nil {
					c.before(s, e)
				}
			}
			await := s.sendInBackground(streamRequest("moved", events))
			e := s.activeEngine()
			s.setEngineFaults(slowCopies)
			c.stop(s, e)
			await().checkWhole(t, events)
			s.checkMoved(t, e)
			is.Equal(s.entry.exitCode(), 0)
		})
	}
}

// TestMonitorRestartKeepsMovedStreams guards against streams that are lost as the process beside their
// engine is started again shortly before, or while, the engine leaves: the entry hosts must hear of the
// moves again.
func TestMonitorRestartKeepsMovedStreams(t *testing.T) {
	t.Parallel()
	const events = 400
	for _, c := range []struct {
		name    string
		restart func(*platformSite, *platformEngine)
	}{
		{"engine leaves directly after the start", func(_ *platformSite, e *platformEngine) {
			e.restartMonitor()
			e.announce()
		}},
		{"engine leaves before the stop", func(_ *platformSite, e *platformEngine) {
			e.announce()
			e.restartMonitor()
		}},
		{"engine leaves before the stop and is listed as draining", func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
			e.announce()
			e.restartMonitor()
		}},
		{"engine leaves between the stop and the start", func(_ *platformSite, e *platformEngine) {
			e.monitor.terminate()
			e.monitor.exitCode()
			e.announce()
			e.monitor.start()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t, 2, 0)
			await := s.sendInBackground(streamRequest("moved", events))
			e := s.activeEngine()
			s.setEngineFaults(replica.Faults{BreakAtShutdown: true})
			c.restart(s, e)
			await().checkWhole(t, events)
			s.checkMoved(t, e)
		})
	}
}

// restartMonitor stops the process beside an engine and starts it again.
func (e *platformEngine) restartMonitor() {
	e.monitor.terminate()
	e.monitor.exitCode()
	e.monitor.start()
}
