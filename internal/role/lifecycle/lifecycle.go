// Package lifecycle controls the shutdown of a process: when it drains, and when it
// aborts the requests that are still open. Lifecycle holds the two stages, and Program
// runs the parts of a process accordingly. Reload receives the signals to reload the
// settings.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// pollMillis is the period at which open requests are counted during a drain.
const pollMillis = 50

// Lifecycle holds the two stages of the shutdown of a process. The first signal ends
// the Drain context: the process admits no new work, and open requests run to their
// end. A further signal may end the Abort context: the requests that are still open are
// aborted.
type Lifecycle struct {
	// Drain ends before Abort or together with it.
	Drain context.Context
	Abort context.Context
	// Signals returns the number of signals to stop that the process has received.
	Signals func() int
	// SignalledAt returns the earliest time at which the first of these may have come; zero if none has.
	// It lies before the time at which it was handled if the process stood still meanwhile.
	SignalledAt func() boottime.Instant
	// Reload is nil for processes that read their settings only at the start.
	Reload *Reload
}

// Repeat says what a termination signal does to a process that already drains.
type Repeat int

const (
	// RepeatAborts ends the Abort context.
	RepeatAborts Repeat = iota
	// RepeatIgnored has no effect. It is for processes whose drain is bounded by the grace period of a
	// platform, which ends them itself and may repeat the signal. A repeated interrupt, which comes
	// from a terminal, still ends the Abort context.
	RepeatIgnored
)

// aborts reports whether a signal that follows another one ends the Abort context.
func (r Repeat) aborts(received os.Signal) bool {
	return r == RepeatAborts || received == os.Interrupt
}

// WithSignals calls run with a lifecycle that follows interrupt and termination
// signals, and returns its error. From then on, a write to a pipe that nothing reads
// fails without ending the process.
func WithSignals(parent context.Context, repeat Repeat, run func(Lifecycle) error) error {
	abort, abortNow := context.WithCancel(parent)
	defer abortNow()
	drain, drainNow := context.WithCancel(abort)
	defer drainNow()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	// The runtime would end the process, with its open requests, when nothing reads its log any more.
	signal.Ignore(syscall.SIGPIPE)
	done := make(chan struct{})
	var received, signalledAt atomic.Int64
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(beatMillis * time.Millisecond)
		defer ticker.Stop()
		still := standstill{}.WithBeat(boottime.Now())
		for {
			select {
			case <-ticker.C:
				still = still.WithBeat(boottime.Now())
			case next := <-signals:
				ticker.Stop()
				signalledAt.CompareAndSwap(0, int64(still.SignalledAt(boottime.Now())))
				if received.Add(1) > 1 && repeat.aborts(next) {
					abortNow()
				}
				drainNow()
			case <-done:
				return nil
			}
		}
	})
	err := run(Lifecycle{
		Drain:       drain,
		Abort:       abort,
		Signals:     func() int { return int(received.Load()) },
		SignalledAt: func() boottime.Instant { return boottime.Instant(signalledAt.Load()) },
	})
	close(done)
	_ = group.Wait()
	return err
}

// AwaitIdle waits until no request is open, Abort ends, or the deadline passes. A zero
// deadline means none. It returns the number of requests that are still open.
func (l Lifecycle) AwaitIdle(open func() int, deadline time.Time) int {
	ticker := time.NewTicker(pollMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		count := open()
		if count == 0 || l.Abort.Err() != nil {
			return count
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return count
		}
		select {
		case <-l.Abort.Done():
		case <-ticker.C:
		}
	}
}

// drainDeadline returns the deadline of a drain, which begins with its signal. For zero
// seconds it returns the zero time, which means that the drain waits for all requests.
func (l Lifecycle) drainDeadline(seconds int) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(seconds)*time.Second - l.sinceSignal())
}

// sinceSignal returns the time since the first signal; zero if the drain began without one.
func (l Lifecycle) sinceSignal() time.Duration {
	if l.SignalledAt == nil || l.SignalledAt() == 0 {
		return 0
	}
	return time.Duration(boottime.Now() - l.SignalledAt())
}
