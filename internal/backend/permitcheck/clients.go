package permitcheck

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// reconnectMillis is how long a draining process waits for a client that has
// disconnected. An entry host closes a connection that has stalled and reconnects.
// The value is greater than the sum of the entry host's pause before it reconnects
// (dispatch.reconnectPauseMillis) and its dial timeout (transport.dialTimeoutMillis).
const reconnectMillis = 2000

// arrivalMillis is how long a draining process waits for clients that chose it before it
// left. An entry host binds the idempotency key of a request to the process before it
// connects, and the key is spent if the process ends in between. The value is not less
// than the sum of the time limits of a binding (leaseholder.claimTimeoutMillis) and of a
// dial (transport.dialTimeoutMillis).
const arrivalMillis = 4000

// Clients counts the entry hosts that are being served. The zero value is ready for
// use. It is safe for concurrent use.
type Clients struct {
	served atomic.Int64
	// reconnectUntil is the time until which the client that disconnected last may
	// reconnect, in nanoseconds since the Unix epoch.
	reconnectUntil atomic.Int64
	// arriveUntil is the time until which clients that chose the process before it left
	// may connect, in nanoseconds since the Unix epoch. It is zero before Leave.
	arriveUntil atomic.Int64
}

// Leave records that the process admits no new work from now on. Only the first call has
// an effect.
func (c *Clients) Leave(now time.Time) {
	c.arriveUntil.CompareAndSwap(0, now.Add(arrivalMillis*time.Millisecond).UnixNano())
}

// Serve calls deliver and counts the client as served until it disconnects. It waits
// for the disconnection after the last message, since messages sent over a stalled
// connection may not have arrived. If deliver fails, Serve returns its error at once.
func (c *Clients) Serve(ctx context.Context, deliver func() error) error {
	c.served.Add(1)
	defer c.disconnected()
	if err := deliver(); err != nil {
		return err
	}
	transport.AwaitClose(ctx)
	return nil
}

// disconnected records the end of a client's connection. It stores the deadline
// before it reduces the count, so that at no time the client appears neither as
// served nor as one that may reconnect.
func (c *Clients) disconnected() {
	c.reconnectUntil.Store(time.Now().Add(reconnectMillis * time.Millisecond).UnixNano())
	c.served.Add(-1)
}

// Served returns the number of clients that have not disconnected.
func (c *Clients) Served() int { return int(c.served.Load()) }

// MayConnect reports whether a client that has disconnected may still reconnect, or one
// that chose the process before it left may still connect.
func (c *Clients) MayConnect(now time.Time) bool {
	return now.UnixNano() < max(c.reconnectUntil.Load(), c.arriveUntil.Load())
}

// Open returns the amount of work for which a drain has to wait: the requests that are open or unread,
// or the clients that are served if these are more. While leaving is set, it is at least 1 as long as a
// client may connect.
func (c *Clients) Open(requests int, leaving *atomic.Bool, now time.Time) int {
	open := max(requests, c.Served())
	if open == 0 && leaving.Load() && c.MayConnect(now) {
		return 1
	}
	return open
}
