package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/discovery"
)

// endCheckMillis bounds the time of the check whether a backend server has ended.
const endCheckMillis = 100

// noticeBroken logs that an engine broke its answer off, and whether the engine has ended.
func (q *request) noticeBroken(ctx context.Context, server discovery.BackendServer, events int, cause error) {
	if q.service.Engine == nil || ctx.Err() != nil || errors.Is(cause, errCallerGone) {
		return
	}
	q.log("answer broken off", "Server", server.ID, "Events", events, "Ended", hasEnded(ctx, server.Address),
		"Leaving", q.relay.isLeaving(server), "Parts", q.caller.SharedParts, "Error", cause)
}

// hasEnded reports whether nothing listens at the address of a backend server any more. A
// server that can't be reached at all may still run.
func hasEnded(ctx context.Context, address string) bool {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(endCheckMillis*time.Millisecond))
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
