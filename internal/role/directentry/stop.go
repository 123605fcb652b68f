package directentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/relay"
	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/role/lifecycle"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// rerouteMillis is the time after the signal by which the platform has seen that the process is
	// not ready and sends new connections to other hosts.
	rerouteMillis = 2600
	// reserveMillis is the time before the end of the grace period at which open requests are ended, so
	// that their callers still get an answer. It is at most reserveShare of the grace period.
	reserveMillis = 300
	reserveShare  = 0.125
	// checkMillis is the pause between two looks at the time until the end of the stop.
	checkMillis = 50
)

// plannedStop returns the planned stop of the process; its zero value while there is none.
func (h *Host) plannedStop() relay.Stop {
	if stop := h.stop.Load(); stop != nil {
		return *stop
	}
	return relay.Stop{}
}

// signalTimes holds what is known of the time of the signal to stop.
type signalTimes struct {
	// earliestAt is the earliest time at which it may have come, and handledAt the time at which it was
	// handled: earliestAt <= handledAt.
	earliestAt, handledAt boottime.Instant
}

// stopAt returns the planned stop, and the time at which the connections that are left are closed. The
// reserve of the grace period makes up for a late signal. Only if it came so early that the reserve would be
// used up do requests end sooner, in its last quarter: a stream that is ended too early is lost as well.
func (t signalTimes) stopAt(graceSeconds float64) (stop relay.Stop, closeBy boottime.Instant) {
	reserve := lifecycle.Reserve{Millis: reserveMillis, Share: reserveShare}
	closeBy = reserve.LastQuarter().BeginsAt(t.earliestAt, graceSeconds)
	stop = relay.Stop{
		ReroutedAt: t.earliestAt.AddMillis(rerouteMillis),
		EndsAt:     min(reserve.BeginsAt(t.handledAt, graceSeconds), closeBy),
	}
	return stop, closeBy
}

// awaitStop waits for the signal to stop, and then until all requests have ended or the grace period is
// nearly over. Callers are served as before until the platform has turned to other hosts; from then on
// only requests whose deadline comes before the end are.
func (h *Host) awaitStop(life lifecycle.Lifecycle) error {
	select {
	case <-life.Drain.Done():
	case <-life.Abort.Done():
		return nil
	}
	signal := signalTimes{earliestAt: life.SignalledAt(), handledAt: boottime.Now()}
	h.setStop(signal, h.Settings.GraceSeconds)
	h.server.Drain()
	// The stop does not wait for the settings file, whose read may hang.
	var reread errgroup.Group
	reread.Go(func() error {
		h.setStop(signal, h.grace().Seconds())
		return nil
	})
	// Requests that wait for room and would be cut are refused at once.
	h.waiting.Signal()
	begun := h.server.Begun()
	h.Log.Info("stopping", "Open", h.server.Open(), "EndsInMillis", h.millisToEnd(),
		"SignalAgeMillis", signal.handledAt.MillisSince(signal.earliestAt))
	open := h.drain(life.Abort, h.plannedStop().ReroutedAt)
	if open > 0 {
		h.Log.Warn("aborting open requests at the end of the grace period", "Open", open)
	}
	h.Log.Info("drained", "Open", open, "Signals", life.Signals(), "LeftMillis", h.millisToEnd(),
		"Begun", h.server.Begun()-begun)
	return nil
}

// grace returns the grace period.
func (h *Host) grace() lifecycle.Grace {
	load := func(path string) (float64, error) {
		settings, err := process.LoadDirectEntry(path)
		return settings.GraceSeconds, err
	}
	return lifecycle.Grace{Path: h.SettingsPath, Load: load, Before: h.Settings.GraceSeconds, Log: h.Log}
}

// setStop stores the planned stop.
func (h *Host) setStop(signal signalTimes, graceSeconds float64) {
	stop, closeBy := signal.stopAt(graceSeconds)
	h.stop.Store(&stop)
	h.server.CloseBy(closeBy)
}

// millisToEnd returns the time until open requests are ended.
func (h *Host) millisToEnd() int64 {
	return h.plannedStop().EndsAt.MillisSince(boottime.Now())
}

// drain waits until no request is open and no further one can come, or until the stop ends. It returns
// the number of requests that are still open.
func (h *Host) drain(ctx context.Context, reroutedAt boottime.Instant) int {
	ctx, end := context.WithCancel(ctx)
	var timer errgroup.Group
	timer.Go(func() error {
		// The end of the stop may come nearer meanwhile.
		for left := h.millisToEnd(); left > 0 && ctx.Err() == nil; left = h.millisToEnd() {
			boottime.Pause(ctx, min(left, checkMillis))
		}
		end()
		return nil
	})
	boottime.PauseUntil(ctx, reroutedAt)
	h.server.CloseIdle()
	lifecycle.Lifecycle{Abort: ctx}.AwaitIdle(h.server.Open, time.Time{})
	open := h.server.Finish(ctx)
	end()
	_ = timer.Wait()
	return open
}
