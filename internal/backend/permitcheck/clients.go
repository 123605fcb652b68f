package permitcheck

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// reconnectMillis is how long after it hung up an asker is waited for: it may have
// cut a silent path and come back on a fresh connection. It is longer than the
// pause and the dial of an entry host.
const reconnectMillis = 2000

// Clients counts the entry hosts that are served. The zero value is ready for
// use; it is safe for concurrent use.
type Clients struct {
	served atomic.Int64
	// reconnectUntil is the time in nanoseconds until which the last asker that
	// hung up may come back.
	reconnectUntil atomic.Int64
}

// Serve counts the asker until it has hung up after the last message, since what
// was sent into a silent path has not arrived.
func (a *Clients) Serve(ctx context.Context, deliver func() error) error {
	a.served.Add(1)
	defer a.disconnected()
	if err := deliver(); err != nil {
		return err
	}
	transport.AwaitClose(ctx)
	return nil
}

// disconnected notes the deadline first, so that no moment lies between.
func (a *Clients) disconnected() {
	a.reconnectUntil.Store(time.Now().Add(reconnectMillis * time.Millisecond).UnixNano())
	a.served.Add(-1)
}

// Served returns the count of askers that have not hung up.
func (a *Clients) Served() int { return int(a.served.Load()) }

// MayReconnect tells whether an asker that hung up may come back.
func (a *Clients) MayReconnect(now time.Time) bool {
	return now.UnixNano() < a.reconnectUntil.Load()
}
