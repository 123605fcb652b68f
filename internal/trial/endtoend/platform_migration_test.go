package endtoend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// errNotYet is returned by conditions of eventually that do not hold yet.
var errNotYet = errors.New("condition does not hold yet")

// shutdownNoticeMillis is the time between an engine's shutdown notice and its
// shutdown.
const shutdownNoticeMillis = 1500

// migrationCase is one case of a stream whose engine announces its shutdown.
type migrationCase struct {
	name string
	// atNotice runs directly after the shutdown notice.
	atNotice func(*platformSite, *platformEngine)
	whole    bool
}

// TestPlatformMigration checks that a stream whose engine shuts down continues on
// another engine as the same run, and delivers each event once and in order. A request
// with a Kv-From header continues a run; one without starts a new run.
func TestPlatformMigration(t *testing.T) {
	t.Parallel()
	cases := []migrationCase{
		{name: "with shutdown notice", atNotice: func(*platformSite, *platformEngine) {}, whole: true},
		{name: "engine removed from the store at the notice", atNotice: func(s *platformSite, e *platformEngine) {
			s.log.Put("keyed.servers", e.ID, nil)
		}, whole: true},
		{name: "engine listed as draining at the notice", atNotice: func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
		}, whole: true},
		{name: "unrelated store entry written at the notice", atNotice: func(s *platformSite, _ *platformEngine) {
			s.log.Put("keyed.op", "other", []byte("{}"))
		}, whole: true},
		{name: "copy refused for lack of capacity elsewhere", atNotice: func(_ *platformSite, e *platformEngine) {
			e.SetFaults(replica.Faults{RefuseCopies: true})
		}, whole: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			const events = 250
			var group errgroup.Group
			var got callerReply
			group.Go(func() error {
				got = s.send(context.Background(), streamRequest("migrated", events))
				return nil
			})
			e := s.activeEngine()
			e.Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
			c.atNotice(s, e)
			_ = group.Wait()
			got.checkWhole(t, events)
			started := 0
			for _, a := range s.arrivals() {
				is.Equal(a.Header.Get("Fulmarvalve-Request-Id"), "migrated")
				if a.Header.Get("Kv-From") == "" {
					started++
				}
			}
			is.Equal(started, 1) // all other arrivals continue the same run
		})
	}
}

// TestPlatformMigrationWithoutMonitor checks that the entry host migrates its runs itself when
// no process beside the leaving engine does: it is dead, or it stands still.
func TestPlatformMigrationWithoutMonitor(t *testing.T) {
	t.Parallel()
	const events, noticeMillis = 450, 4000
	cases := []struct {
		name             string
		before, atNotice func(*platformEngine)
		// removed says that the engine's entry is removed instead of listing it as draining.
		removed bool
	}{
		{"killed before the request", func(e *platformEngine) { e.monitor.kill() }, func(*platformEngine) {}, false},
		{"killed at the notice", func(*platformEngine) {}, func(e *platformEngine) { e.monitor.kill() }, false},
		{"frozen at the notice", func(*platformEngine) {}, func(e *platformEngine) { e.monitor.freeze() }, false},
		{"killed before the request, entry removed", func(e *platformEngine) { e.monitor.kill() }, func(*platformEngine) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			for _, e := range s.engines {
				c.before(e)
			}
			var group errgroup.Group
			var got callerReply
			group.Go(func() error {
				got = s.send(context.Background(), streamRequest("migrated", events))
				return nil
			})
			e := s.activeEngine()
			c.atNotice(e)
			e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
			if c.removed {
				s.log.Put("keyed.servers", e.ID, nil)
			} else {
				s.register(e.Replica, "engines", "draining")
			}
			is.NoErr(group.Wait())
			got.checkWhole(t, events)
			started, continued := s.countRuns()
			is.Equal(started, 1)
			is.True(continued >= 1)
			is.Equal(e.Running(), 0)
		})
	}
}

// TestPlatformBrokenStreams breaks the connection to the engine in the middle of a
// stream. A stream that may run only once must reach the caller truncated after the
// last complete event; a resumable one must continue after that event.
func TestPlatformBrokenStreams(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t, 2, 0)
	for name, faults := range map[string]replica.Faults{
		"broken between events":  {BreakAfter: 10},
		"broken within an event": {BreakAfter: 10, BreakWithinEvent: true},
	} {
		t.Run("once, "+name, func(t *testing.T) {
			is := is.New(t)
			s.setEngineFaults(faults)
			before := len(s.arrivals())
			got := s.send(context.Background(), streamRequest("once "+name, 50))
			is.True(got.err != nil)                  // the truncation is visible to the caller
			is.Equal(got.events(), eventNumbers(10)) // only complete events were delivered
			is.Equal(len(s.arrivals())-before, 1)    // the request did not run again
			is.Equal(got.status, http.StatusOK)      // the response had already begun
		})
		t.Run("resumable, "+name, func(t *testing.T) {
			is := is.New(t)
			s.setEngineFaults(faults)
			before := len(s.arrivals())
			request := streamRequest("resumable "+name, 10+5)
			request.target = resumablePath
			got := s.send(context.Background(), request)
			is.True(len(s.arrivals())-before == 2) // the run continued elsewhere
			arrivals := s.arrivals()
			resumed := 0
			for _, a := range arrivals {
				if a.Header.Get("Fulmarvalve-Request-Id") == request.id && a.Header.Get("Last-Event-Id") == "10" {
					resumed++
				}
			}
			is.Equal(resumed, 1) // resumed after the last complete event
			is.Equal(got.events()[:10], eventNumbers(10))
		})
	}
}

// setPlainFaults sets the faults of all backend servers of the plain service.
func (s *platformSite) setPlainFaults(f replica.Faults) {
	for _, server := range s.plainServices {
		server.SetFaults(f)
	}
}

// setEngineFaults sets the faults of all engines.
func (s *platformSite) setEngineFaults(f replica.Faults) {
	for _, e := range s.engines {
		e.SetFaults(f)
	}
}

// TestPlatformSilentStream checks that a stream which cannot continue on another
// engine is not ended when its engine stalls.
func TestPlatformSilentStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 5, StallMillis: 3500})
	got := s.send(context.Background(), streamRequest("stalled", 20))
	is.NoErr(got.err)
	is.Equal(got.events(), eventNumbers(20))
}

// TestPlatformStalledStreamThatDrips checks that a stream that can continue on another engine
// does so when its engine stalls, although the engine sends a byte now and then.
func TestPlatformStalledStreamThatDrips(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events, stallMillis, soonMillis = 20, 7000, 5000
	s := newPlatformSite(t, 2, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 5, StallMillis: stallMillis, DripMillis: 200})
	var group errgroup.Group
	var got callerReply
	group.Go(func() error {
		request := streamRequest("drips", events)
		request.target = resumablePath
		got = s.send(context.Background(), request)
		return nil
	})
	s.activeEngine()
	s.setEngineFaults(replica.Faults{})
	is.NoErr(group.Wait())
	is.NoErr(got.err)
	is.Equal(got.events(), eventNumbers(events))
	is.True(got.took < soonMillis*time.Millisecond)
}

// TestPlatformSlowStream checks that a sound stream is not cut when each of its pauses is
// long and its caller reads slowly: it is run once.
func TestPlatformSlowStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events = 12
	s := newPlatformSite(t, 2, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 4, StallMillis: 2000})
	request := streamRequest("slow", events)
	request.target = resumablePath
	got := s.send(context.Background(), request)
	is.NoErr(got.err)
	is.Equal(got.events(), eventNumbers(events))
	is.Equal(len(s.arrivals()), 1)
}

// TestPlatformUnmigratedStream checks a stream whose engine shuts down and refuses to
// migrate it. A resumable stream must continue on another engine; any other must end
// directly after the shutdown.
func TestPlatformUnmigratedStream(t *testing.T) {
	t.Parallel()
	const noticeMillis, atOnceMillis = 700, 500
	for target, events := range map[string]int{streamPath: 0, resumablePath: 250} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			var group errgroup.Group
			var got callerReply
			var endedAt time.Time
			group.Go(func() error {
				request := streamRequest("unmigrated", 250)
				request.target = target
				got = s.send(context.Background(), request)
				endedAt = time.Now()
				return nil
			})
			e := s.activeEngine()
			e.SetFaults(replica.Faults{RefuseMigrations: true})
			endsAt := time.Now().Add(noticeMillis * time.Millisecond)
			e.Drain(endsAt)
			_ = group.Wait()
			if events > 0 {
				is.NoErr(got.err)
				is.Equal(got.events(), eventNumbers(events))
				return
			}
			is.True(got.err != nil)
			is.True(endedAt.Before(endsAt.Add(atOnceMillis * time.Millisecond)))
		})
	}
}
