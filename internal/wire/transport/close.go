package transport

import (
	"context"
	"time"
)

// closeTimeoutMillis is the maximum wait for the peer to close a connection. It is longer
// than the time without data after which the peer opens a new connection.
const closeTimeoutMillis = 15000

// AwaitClose waits until the peer has closed the connection that carries the call of
// ctx. The peer closes it after it has received the last message. If the connection is
// unresponsive, AwaitClose returns after a bounded time.
func AwaitClose(ctx context.Context) {
	timer := time.NewTimer(closeTimeoutMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
