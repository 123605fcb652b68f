package dispatch

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// refusedMillis is how long an owner's address refuses connections before the
// owner counts as gone.
const refusedMillis = 2000

// silence bounds the attempts to reach an owner that may run the request.
type silence struct {
	// until is the deadline for an owner that does not answer.
	until time.Time
	// refusedUntil is the deadline for an owner whose address refuses
	// connections: no process listens there, so the incarnation is gone. Zero
	// while it does not. A device on the path may refuse for a moment.
	refusedUntil time.Time
}

func (r *Runner) newSilence() silence {
	millis := r.SilentMillis
	if millis == 0 {
		millis = defaultSilentMillis
	}
	return silence{until: time.Now().Add(time.Duration(millis) * time.Millisecond)}
}

// take notes why an attempt failed.
func (s *silence) take(cause error, now time.Time) {
	switch {
	case !errors.Is(cause, syscall.ECONNREFUSED):
		s.refusedUntil = time.Time{}
	case s.refusedUntil.IsZero():
		s.refusedUntil = now.Add(refusedMillis * time.Millisecond)
	}
}

// ended tells whether the owner is given up on.
func (s silence) ended(now time.Time) bool {
	refused := !s.refusedUntil.IsZero() && !now.Before(s.refusedUntil)
	return refused || !now.Before(s.until)
}
