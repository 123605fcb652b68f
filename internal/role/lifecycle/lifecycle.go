// Package lifecycle tells a process when to drain and when to cut what is open.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// pollMillis is the period at which open requests are counted while draining.
const pollMillis = 50

// Lifecycle is the two ends of a process. The first signal ends Drain: no new
// work is accepted and open requests run to their end. The second one ends
// Cut: what is still open is cut.
type Lifecycle struct {
	// Drain ends first, or together with Cut.
	Drain context.Context
	Abort context.Context
	// Reload is nil for processes that read their settings once.
	Reload *Reload
}

// WithSignals calls run with a lifecycle that follows interrupt and termination
// signals, and returns its error.
func WithSignals(parent context.Context, run func(Lifecycle) error) error {
	cut, cutNow := context.WithCancel(parent)
	defer cutNow()
	drain, drainNow := context.WithCancel(cut)
	defer drainNow()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for _, end := range []context.CancelFunc{drainNow, cutNow} {
			select {
			case <-signals:
				end()
			case <-done:
				return nil
			}
		}
		return nil
	})
	err := run(Lifecycle{Drain: drain, Abort: cut})
	close(done)
	_ = group.Wait()
	return err
}

// AwaitIdle waits until nothing is open, Cut ends, or the deadline passes; a zero
// deadline means none. It returns how much is still open.
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

// drainDeadline returns when a drain that begins now ends; zero seconds mean
// that it waits for all requests.
func drainDeadline(seconds int) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(seconds) * time.Second)
}
