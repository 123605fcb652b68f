package transport

import (
	"context"
	"time"
)

// hangUpMillis bounds the wait for the other side to hang up. It is longer than
// the silence after which the other side takes a fresh connection.
const hangUpMillis = 15000

// AwaitHangUp waits until the other side has closed the connection that carries
// the call of ctx, which it does once it has the last message. On a silent path
// it waits for a bounded time.
func AwaitHangUp(ctx context.Context) {
	timer := time.NewTimer(hangUpMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
