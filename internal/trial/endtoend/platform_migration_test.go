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

var errNotYet = errors.New("still running")

// shutdownNoticeMillis is the notice of an engine that ends.
const shutdownNoticeMillis = 1500

// migrationCase is a stream of which the engine ends.
type migrationCase struct {
	name string
	// before is done at the notice.
	before func(*platformSite, *platformEngine)
	whole  bool
}

func TestPlatformMigration(t *testing.T) {
	t.Parallel()
	cases := []migrationCase{
		{name: "with notice", before: func(*platformSite, *platformEngine) {}, whole: true},
		{name: "entry removed at the notice", before: func(s *platformSite, e *platformEngine) {
			s.log.Put("keyed.servers", e.ID, nil)
		}, whole: true},
		{name: "entry draining at the notice", before: func(s *platformSite, e *platformEngine) {
			s.register(e.Replica, "engines", "draining")
		}, whole: true},
		{name: "store away at the notice", before: func(s *platformSite, _ *platformEngine) {
			s.log.Put("keyed.op", "other", []byte("{}"))
		}, whole: true},
		{name: "no room elsewhere", before: func(_ *platformSite, e *platformEngine) {
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
				got = s.send(context.Background(), streamRequest("moves", events))
				return nil
			})
			e := s.activeEngine()
			e.Drain(time.Now().Add(shutdownNoticeMillis * time.Millisecond))
			c.before(s, e)
			_ = group.Wait()
			is.NoErr(got.err)
			is.Equal(got.events(), eventNumbers(events)) // each event once, in order
			started := 0
			for _, a := range s.arrivals() {
				is.Equal(a.Header.Get("Fulmarvalve-Request-Id"), "moves")
				if a.Header.Get("Kv-From") == "" {
					started++
				}
			}
			is.Equal(started, 1) // all further ones go on with the same run
		})
	}
}

func TestPlatformBrokenStreams(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t, 2, 0)
	for name, faults := range map[string]replica.Faults{
		"cut between events": {BreakAfter: 10},
		"cut in an event":    {BreakAfter: 10, BreakWithinEvent: true},
	} {
		t.Run("once, "+name, func(t *testing.T) {
			is := is.New(t)
			s.setEngineFaults(faults)
			before := len(s.arrivals())
			got := s.send(context.Background(), streamRequest("once "+name, 50))
			is.True(got.err != nil)                  // a cut answer looks cut
			is.Equal(got.events(), eventNumbers(10)) // and holds whole events only
			is.Equal(len(s.arrivals())-before, 1)    // it did not run again
			is.Equal(got.status, http.StatusOK)      // it had begun
		})
		t.Run("resumable, "+name, func(t *testing.T) {
			is := is.New(t)
			s.setEngineFaults(faults)
			before := len(s.arrivals())
			ask := streamRequest("resumable "+name, 10+5)
			ask.target = resumablePath
			got := s.send(context.Background(), ask)
			is.True(len(s.arrivals())-before == 2) // it went on elsewhere
			arrivals := s.arrivals()
			resumed := 0
			for _, a := range arrivals {
				if a.Header.Get("Fulmarvalve-Request-Id") == ask.id && a.Header.Get("Last-Event-Id") == "10" {
					resumed++
				}
			}
			is.Equal(resumed, 1) // after the last whole event
			is.Equal(got.events()[:10], eventNumbers(10))
		})
	}
}

func (s *platformSite) setEngineFaults(f replica.Faults) {
	for _, e := range s.engines {
		e.SetFaults(f)
	}
}

// The silence of an engine is no reason to end an answer that cannot go on
// elsewhere.
func TestPlatformSilentStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 5, StallMillis: 3500})
	got := s.send(context.Background(), streamRequest("silent", 20))
	is.NoErr(got.err)
	is.Equal(got.events(), eventNumbers(20))
}

// A stream that its leaving engine cannot move has its end at once, and another
// engine takes it over when it may be resumed.
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
				ask := streamRequest("stays", 250)
				ask.target = target
				got = s.send(context.Background(), ask)
				endedAt = time.Now()
				return nil
			})
			e := s.activeEngine()
			e.SetFaults(replica.Faults{RefuseMigrations: true})
			leavesAt := time.Now().Add(noticeMillis * time.Millisecond)
			e.Drain(leavesAt)
			_ = group.Wait()
			if events > 0 {
				is.NoErr(got.err)
				is.Equal(got.events(), eventNumbers(events))
				return
			}
			is.True(got.err != nil)
			is.True(endedAt.Before(leavesAt.Add(atOnceMillis * time.Millisecond)))
		})
	}
}
