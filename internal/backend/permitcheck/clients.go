package permitcheck

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// returnMillis is how long after it hung up an asker is waited for: it may have
// cut a silent path and come back on a fresh connection. It is longer than the
// pause and the dial of an entry host.
const returnMillis = 2000

// Askers counts the entry hosts that are served. The zero value is ready for
// use; it is safe for concurrent use.
type Askers struct {
	served atomic.Int64
	// returnUntil is the time in nanoseconds until which the last asker that
	// hung up may come back.
	returnUntil atomic.Int64
}

// Serve counts the asker until it has hung up after the last message, since what
// was sent into a silent path has not arrived.
func (a *Askers) Serve(ctx context.Context, deliver func() error) error {
	a.served.Add(1)
	defer a.hungUp()
	if err := deliver(); err != nil {
		return err
	}
	transport.AwaitHangUp(ctx)
	return nil
}

// hungUp notes the deadline first, so that no moment lies between.
func (a *Askers) hungUp() {
	a.returnUntil.Store(time.Now().Add(returnMillis * time.Millisecond).UnixNano())
	a.served.Add(-1)
}

// Served returns the count of askers that have not hung up.
func (a *Askers) Served() int { return int(a.served.Load()) }

// MayReturn tells whether an asker that hung up may come back.
func (a *Askers) MayReturn(now time.Time) bool {
	return now.UnixNano() < a.returnUntil.Load()
}
