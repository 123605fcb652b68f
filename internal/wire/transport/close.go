package transport

import (
	"context"
	"time"
)

// closeTimeoutMillis bounds the wait for the other side to hang up. It is longer than
// the silence after which the other side takes a fresh connection.
const closeTimeoutMillis = 15000

// AwaitClose waits until the other side has closed the connection that carries
// the call of ctx, which it does once it has the last message. On a silent path
// it waits for a bounded time.
func AwaitClose(ctx context.Context) {
	timer := time.NewTimer(closeTimeoutMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
