package endtoend

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// slowCopyMillis is the time of a copy that is in progress when a process is signalled.
	slowCopyMillis = 300
	// raceExitMillis is the time by which the race detector, with which tests build the program, delays
	// the end of a process.
	raceExitMillis = 1000
	// movedEvents is the number of events of streams that outlast the shutdown of their engine.
	movedEvents = 400
	// stopNoticeMillis is the time from the notice of an engine to its shutdown. It is long enough for
	// two slow copies of a run on a busy host.
	stopNoticeMillis = 3000
)

// slowCopies makes a copy of a run be in progress when a process is signalled.
var slowCopies = replica.Faults{CopyMillis: slowCopyMillis, BreakAtShutdown: true}

// monitorStopCase is a planned stop of the process beside an engine whose runs are moved.
type monitorStopCase struct {
	name    string
	streams int
	faults  replica.Faults
	// stop announces the shutdown of the engine and stops the process beside it.
	stop func(*platformSite, *platformEngine)
}

// announce makes the engine announce its shutdown.
func (e *platformEngine) announce() {
	e.Drain(time.Now().Add(stopNoticeMillis * time.Millisecond))
}

// awaitStoppedRun waits until the engine has stopped one of the given number of runs.
func (s *platformSite) awaitStoppedRun(e *platformEngine, runs int) {
	s.t.Helper()
	eventually(s.t, "the engine has stopped a run", func() error {
		if e.Running() >= runs {
			return errNotYet
		}
		return nil
	})
}

// announceUntilStopped makes the engine announce its shutdown, and waits until it has stopped one of the
// given number of runs.
func (s *platformSite) announceUntilStopped(e *platformEngine, runs int) {
	s.t.Helper()
	e.announce()
	s.awaitStoppedRun(e, runs)
}

// checkMoved checks that the only run of a site went on elsewhere, and that its stream did not wait for
// that in vain, unless the engine e had stopped the run for too long.
func (s *platformSite) checkMoved(t *testing.T, e *platformEngine) {
	t.Helper()
	is := is.New(t)
	started, continued := s.countRuns()
	is.Equal(started, 1)
	is.True(continued >= 1)
	is.True(s.entry.countLines(resumedInVain) <= e.monitor.countLines(migratedLate))
}

// newSiteWithLateEngine starts a deployment with one entry host and one engine. The process slots of a
// further engine are reserved.
func newSiteWithLateEngine(t *testing.T) *platformSite {
	t.Helper()
	s := newPlatformStore(t, 3)
	s.addEngine(0)
	s.configure(platformKey)
	s.settings = s.entrySettings("entry")
	s.startEntry()
	eventually(t, "entry host ready", s.ready)
	return s
}

// addLateEngine adds an engine and waits until the entry host knows its load.
func (s *platformSite) addLateEngine() {
	s.t.Helper()
	e := s.addEngine(len(s.engines))
	eventually(s.t, "entry host knows the load of the late engine", func() error {
		status, err := queryStatus(s.settings.ControlAddress)
		if err != nil {
			return err
		}
		for _, host := range status.Hosts {
			if host.Name == e.ID && host.AgeMillis >= 0 {
				return nil
			}
		}
		return errNotYet
	})
}

// TestMonitorStopLosesNoMovedStream guards against streams that are lost as the process beside their
// engine is stopped while it moves their runs: the engine has stopped a run, and no entry host learns
// where it goes on.
func TestMonitorStopLosesNoMovedStream(t *testing.T) {
	t.Parallel()
	for _, c := range []monitorStopCase{
		{"while a stopped run is copied", 1, slowCopies, func(s *platformSite, e *platformEngine) {
			s.announceUntilStopped(e, 1)
			e.monitor.terminate()
		}},
		{"while a stopped run is copied, engine listed as draining", 1, slowCopies, func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
			s.announceUntilStopped(e, 1)
			e.monitor.terminate()
		}},
		{"while several runs are moved", 4, replica.Faults{CopyMillis: 100, BreakAtShutdown: true}, func(s *platformSite, e *platformEngine) {
			s.announceUntilStopped(e, 4)
			e.monitor.terminate()
		}},
		{"by signals that are repeated", 1, slowCopies, func(s *platformSite, e *platformEngine) {
			s.announceUntilStopped(e, 1)
			e.monitor.terminate()
			for range 3 {
				time.Sleep(pollMillis * time.Millisecond)
				_ = e.monitor.command.Process.Signal(syscall.SIGTERM) // an ended process can't take it
			}
		}},
		{"at the notice of the engine", 1, replica.Faults{BreakAtShutdown: true}, func(_ *platformSite, e *platformEngine) {
			e.announce()
			e.monitor.terminate()
		}},
		{"as its engine is listed as draining", 1, replica.Faults{BreakAtShutdown: true}, func(s *platformSite, e *platformEngine) {
			e.monitor.terminate()
			s.register(e.Replica, "engines", "draining")
			time.Sleep(3 * pollMillis * time.Millisecond)
			e.announce()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run stops the process beside an engine that runs streams, and checks that they are whole.
func (c monitorStopCase) run(t *testing.T) {
	is := is.New(t)
	s := newSiteWithLateEngine(t)
	var awaits []func() callerReply
	for n := range c.streams {
		awaits = append(awaits, s.sendInBackground(streamRequest(fmt.Sprint("moved-", n), movedEvents)))
	}
	e := s.engines[0]
	eventually(t, "all streams run on the engine", func() error {
		if e.Running() < c.streams {
			return errNotYet
		}
		return nil
	})
	s.addLateEngine()
	s.setEngineFaults(c.faults)
	c.stop(s, e)
	for _, await := range awaits {
		await().checkWhole(t, movedEvents)
	}
	is.True(s.entry.countLines(resumedInVain) <= e.monitor.countLines(migratedLate))
	started, _ := s.countRuns()
	is.Equal(started, c.streams)
	is.Equal(e.monitor.exitCode(), 0)
}

// resumedInVain reports whether a stream went on elsewhere only after it had waited in vain for the
// migration of its run.
func resumedInVain(l logLine) bool {
	return l.Message == "migrated stream is being resumed" && !l.Stopped
}

// migratedLate reports whether a run was stopped for longer than its stream waits, as the host is
// busy.
func migratedLate(l logLine) bool {
	const waitMillis = 1000
	return l.Message == "run migration ended" && l.Millis-l.AheadMillis > waitMillis
}

// TestMonitorStopEndsAtOnce guards against a process beside an engine that outlives its signal without
// a migration to complete, or its grace period with one.
func TestMonitorStopEndsAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		faults     replica.Faults
		stop       func(*platformSite, *platformEngine)
		mostMillis int64
	}{
		{"its engine stays", replica.Faults{}, func(*platformSite, *platformEngine) {}, 700},
		{"its engine is gone", replica.Faults{}, func(_ *platformSite, e *platformEngine) { e.GoDark() }, 1200},
		{"its engine leaves without runs", replica.Faults{}, func(s *platformSite, e *platformEngine) {
			e.Drain(time.Now().Add(time.Minute))
			s.awaitStoppedRun(e, 1)
		}, 700},
		{"an entry host stands still", replica.Faults{}, func(s *platformSite, _ *platformEngine) { s.entry.freeze() }, 1200},
		{"its engine leaves long after the grace period", replica.Faults{RefuseMigrations: true}, func(_ *platformSite, e *platformEngine) {
			e.Drain(time.Now().Add(time.Minute))
		}, stopGraceSeconds * 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			const longEvents = 600
			await := s.sendInBackground(streamRequest("long", longEvents))
			e := s.activeEngine()
			s.setEngineFaults(c.faults)
			c.stop(s, e)
			signalledAt := time.Now()
			e.monitor.terminate()
			is.Equal(e.monitor.exitCode(), 0)
			millis := time.Since(signalledAt).Milliseconds()
			t.Logf("ended after %d ms", millis)
			is.True(millis < c.mostMillis+raceExitMillis)
			if s.entry.running() {
				s.entry.kill()
			}
			await()
		})
	}
}
