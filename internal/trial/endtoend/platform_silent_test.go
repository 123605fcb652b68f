package endtoend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// TestPlatformSilentEngineGoesOn guards against a stream that is cut although its engine goes on after a
// silence: the other engine declines it.
func TestPlatformSilentEngineGoesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events, silentMillis = 20, 5600 // the other engine is asked twice
	s := newDeclineSite(t, 2, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 5, StallMillis: silentMillis})
	request := streamRequest("silent", events)
	request.target = resumablePath
	await := s.sendInBackground(request)
	s.setOthersFaults(s.activeEngine(), replica.Faults{Decline: true})
	got := await()
	is.NoErr(got.err)
	is.Equal(got.events(), eventNumbers(events))
	s.checkRan(t, 1)
}

// TestPlatformSilentEngineReleased guards against two engines that work on the same request: one was
// silent, and the answer of the other does not come.
func TestPlatformSilentEngineReleased(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events, silentMillis, overlapMillis = 20, 4000, 400
	s := newDeclineSite(t, 2, 0)
	s.setEngineFaults(replica.Faults{StallBefore: 5, StallMillis: silentMillis})
	request := streamRequest("silent", events)
	request.target = resumablePath
	request.deadlineMillis = silentMillis
	await := s.sendInBackground(request)
	silent := s.activeEngine()
	var other *platformEngine
	for _, e := range s.engines {
		if e != silent {
			other = e
		}
	}
	var arrivedAt time.Time
	eventually(t, "the request reaches the other engine", func() error {
		if len(other.Arrivals()) == 0 {
			return errNotYet
		}
		arrivedAt = other.Arrivals()[0].At
		return nil
	})
	eventually(t, "the silent engine is released", func() error {
		if silent.Running() > 0 {
			return errNotYet
		}
		return nil
	})
	is.True(time.Since(arrivedAt) < (overlapMillis+100)*time.Millisecond) // with the time between two looks
	await()
}
