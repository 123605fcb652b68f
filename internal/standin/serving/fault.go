package serving

import (
	"context"
	"sync/atomic"
	"time"
)

// TakeOne counts n down and reports whether it was above zero.
func TakeOne(n *atomic.Int64) bool {
	for {
		left := n.Load()
		if left <= 0 {
			return false
		}
		if n.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Delay waits for a number of milliseconds, and returns the error of ctx when
// it ends before.
func Delay(ctx context.Context, millis int64) error {
	if millis <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
