package relay

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
)

// Run is a run of a request that an engine began, or went on with, when the request was sent to it. It
// tells the messages about that run from those about earlier runs of the same request. It is immutable.
type Run struct {
	registration *Registration
	// engine is the address of the engine.
	engine string
	// number is the place of the sending in the sequence of the host, by which the answers to a request
	// are told apart.
	number uint64
	// heard is the highest number of an order of the engine's monitor that was heard of before.
	heard uint64
}

// state returns what is known of the request's runs at the engine, and a channel that is closed when that
// changes.
func (r Run) state() (runState, <-chan struct{}) {
	m := r.registration.migrations
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.registration.engines[r.engine], r.registration.changed
}

// stopIn returns the message about a stop of the run, if there is one.
func (r Run) stopIn(s runState) (Migration, bool) {
	switch {
	case s.ownStop.StopOrder > r.number:
		return s.ownStop, true
	case s.stop.StopOrder > r.heard:
		return s.stop, true
	default:
		return s.stop, s.stop.StopOrder == 0 && s.stopAt > r.number
	}
}

// latestIn returns the newest message about a migration of the run, if there is one.
func (r Run) latestIn(s runState) (Migration, bool) {
	if stop, ok := r.stopIn(s); ok {
		return stop, true
	}
	if s.copyAt > r.number {
		return s.copy, true
	}
	return Migration{}, false
}

// Latest returns the newest migration of the run, if there is one.
func (r Run) Latest() (Migration, bool) {
	s, _ := r.state()
	return r.latestIn(s)
}

// StopOrdered reports whether this host has ordered the engine to stop the run, and the engine may have.
func (r Run) StopOrdered() bool {
	s, _ := r.state()
	return s.orders.AnyAfter(r.number)
}

// AwaitStopped waits until the engine has stopped the run for a migration, until its monitor says that no
// message follows, or until ctx ends. It returns the newest migration, and whether one of these is known.
// That this host migrates the run no more says nothing of the monitor. The argument leaving says that the
// engine may still stop the run; otherwise the reply that it has not ends the wait, too.
func (r Run) AwaitStopped(ctx context.Context, leaving bool) (latest Migration, known bool) {
	for {
		s, changed := r.state()
		latest, _ = r.latestIn(s)
		stays := !leaving && s.reply.EndedAnswer == r.number && !s.orders.AnyAfter(r.number)
		if latest.Stopped || (latest.Final && !latest.Own) || stays {
			return latest, true
		}
		select {
		case <-ctx.Done():
			return latest, false
		case <-changed:
		}
	}
}

// AwaitEnd waits for the reply of the engine's monitor, which was asked whether the engine has stopped the
// run of an answer that has ended, or until ctx ends. A message about a stop of the run is such a reply, too,
// also if this host has ordered the stop. The monitor does not know the orders of this host: while one is
// open, AwaitEnd waits on.
func (r Run) AwaitEnd(ctx context.Context) answerend.MonitorReply {
	for {
		s, changed := r.state()
		if _, ok := r.stopIn(s); ok {
			return answerend.MonitorStopped{}
		}
		replied := s.reply.EndedAnswer == r.number
		if replied && !s.orders.AnyAfter(r.number) {
			return answerend.MonitorNotStopped{}
		}
		select {
		case <-ctx.Done():
			if replied {
				return answerend.MonitorNotStopped{}
			}
			return answerend.MonitorSilent{}
		case <-changed:
		}
	}
}
