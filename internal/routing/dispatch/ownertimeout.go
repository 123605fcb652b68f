package dispatch

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// connectionRefusedMillis is how long an owner's address refuses connections before the
// owner counts as gone.
const connectionRefusedMillis = 2000

// ownerTimeout bounds the attempts to reach an owner that may run the request.
type ownerTimeout struct {
	// deadline is the deadline for an owner that does not answer.
	deadline time.Time
	// refusedUntil is the deadline for an owner whose address refuses
	// connections: no process listens there, so the incarnation is gone. Zero
	// while it does not. A device on the path may refuse for a moment.
	refusedUntil time.Time
}

func (r *Runner) newOwnerTimeout() ownerTimeout {
	millis := r.OwnerTimeoutMillis
	if millis == 0 {
		millis = defaultOwnerTimeoutMillis
	}
	return ownerTimeout{deadline: time.Now().Add(time.Duration(millis) * time.Millisecond)}
}

// observe notes why an attempt failed.
func (s *ownerTimeout) observe(cause error, now time.Time) {
	switch {
	case !errors.Is(cause, syscall.ECONNREFUSED):
		s.refusedUntil = time.Time{}
	case s.refusedUntil.IsZero():
		s.refusedUntil = now.Add(connectionRefusedMillis * time.Millisecond)
	}
}

// expired tells whether the owner is given up on.
func (s ownerTimeout) expired(now time.Time) bool {
	refused := !s.refusedUntil.IsZero() && !now.Before(s.refusedUntil)
	return refused || !now.Before(s.deadline)
}
