package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// take takes memory. It waits while those that give way still hold theirs, or may give way soon. An error is marked
// with ErrFull, also if ctx ends while it waits, or with ErrGaveWay.
func (h *Holding) take(ctx context.Context, want claim) error {
	if h == nil {
		return nil
	}
	if taken, err := h.takeFree(want); taken || err != nil {
		return err
	}
	giveUpAt := boottime.Now().AddMillis(waitMillis)
	for {
		now := boottime.Now()
		w, err := h.makeRoomFor(want, now, giveUpAt)
		if w.changed == nil {
			return err
		}
		if err := await(ctx, w.changed, w.lookAt.MillisSince(now)); err != nil {
			h.stopWaiting(want)
			return errors.Mark(errors.Wrap(err, "wait for room"), ErrFull)
		}
	}
}

// takeFree takes memory if there is room. It returns false if there is none.
func (h *Holding) takeFree(want claim) (bool, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.takeFreeLocked(want)
}

// takeFreeLocked is takeFree for a caller that holds the mutex.
func (h *Holding) takeFreeLocked(want claim) (bool, error) {
	if h.err != nil {
		return false, h.err
	}
	if h.budget.lack(h, want, use{}).any() {
		return false, nil
	}
	h.set(want)
	return true, nil
}

// wait says when a request that waits for room looks again.
type wait struct {
	// changed is closed when something was freed. It is nil if there is no need to wait.
	changed <-chan struct{}
	// lookAt is the time at which another request may have stalled, or the wait is over.
	lookAt boottime.Instant
}

// makeRoomFor takes memory if there is room. Otherwise it makes others give way, if they can, and returns a wait.
func (h *Holding) makeRoomFor(want claim, now, giveUpAt boottime.Instant) (wait, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.setWaiting(false, want)
	if taken, err := h.takeFreeLocked(want); taken || err != nil {
		// It was not read while it waited.
		h.seenBytes, h.seenAt = h.received.Load(), now
		return wait{}, err
	}
	lacking := b.lack(h, want, b.yielding)
	for lacking.any() && b.makeRoom(h, lacking, now) {
		lacking = b.lack(h, want, b.yielding)
	}
	if !now.Before(giveUpAt) || b.tooManyWait(want) {
		b.refused++
		return wait{}, errors.Mark(errors.Newf("no room for %d bytes, %d of %d are in use", want.bytes, b.use.bytes, b.MostBytes), ErrFull)
	}
	h.setWaiting(true, want)
	lookAt := giveUpAt
	if lacking.any() {
		lookAt = min(b.fruitless.until(lacking), giveUpAt)
	}
	return wait{changed: b.awaitChange(), lookAt: lookAt}, nil
}

// tooManyWait reports whether so many requests wait that a further one does not. One that was read whole does; the
// connections bound their number. The caller holds the mutex.
func (b *Budget) tooManyWait(want claim) bool {
	return want.stage != whole && (b.waiting >= maxWaiting || want.large && b.waitingLarge >= maxWaitingLarge)
}

// setWaiting records whether the connection waits for room. The caller holds the mutex.
func (h *Holding) setWaiting(waiting bool, want claim) {
	if h.waiting == waiting {
		return
	}
	h.waiting, h.waitsFor = waiting, want.stage
	by := 1
	if !waiting {
		by = -1
	}
	h.budget.waiting += by
	if want.large {
		h.budget.waitingLarge += by
	}
}

// stopWaiting records that the connection does not wait for room any more.
func (h *Holding) stopWaiting(want claim) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setWaiting(false, want)
}

// makeRoom makes the connection give way that is first to do so. It returns false if none can.
// The caller holds the mutex.
func (b *Budget) makeRoom(asking *Holding, lacking lack, now boottime.Instant) bool {
	if !lacking.connection && !lacking.whole && now.Before(b.fruitless.until(lacking)) {
		return false
	}
	victim, nextStallAt := b.findVictim(asking, lacking, now)
	// They are few, as they are read soon; the bound is that of the time for which the mutex is held.
	for looks := 1; looks < maxUnreadLooks && victim != nil && victim.noteUnread(lacking, now); looks++ {
		victim, nextStallAt = b.findVictim(asking, lacking, now)
	}
	if victim == nil {
		b.fruitless = b.fruitless.with(lacking, nextStallAt)
		return false
	}
	victim.err = errors.Mark(errors.Newf("%d bytes held, %d received", victim.bytes, victim.received.Load()), ErrGaveWay)
	b.yielding.connections++
	b.yielding.bytes += victim.bytes + b.ConnectionBytes
	b.yielding.largeBytes += victim.largeBytes()
	b.gaveWay++
	victim.connection.GiveWay()
	b.wake()
	return true
}

// await waits until the channel is closed, a time has passed, or ctx ends, whose error it returns.
func await(ctx context.Context, changed <-chan struct{}, millis int64) error {
	timer := time.NewTimer(time.Duration(max(millis, 1)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}
