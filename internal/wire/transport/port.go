package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
)

const (
	// dialPortMillis bounds one attempt to connect to a port.
	dialPortMillis = 100
	// redialPortMillis is the pause before the next one.
	redialPortMillis = 50
)

// DialPort opens a connection to an address and closes it, to see whether a server is up. It takes
// dialPortMillis at most.
func DialPort(ctx context.Context, address string) error {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(dialPortMillis*time.Millisecond))
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// AskPort tries to connect to an address until an attempt is accepted or refused, or until ctx ends. It tries
// at least once.
func AskPort(ctx context.Context, address string) answerend.PortResult {
	for {
		err := DialPort(ctx, address)
		switch {
		case err == nil:
			return answerend.PortOpen{}
		case errors.Is(err, syscall.ECONNREFUSED):
			return answerend.PortClosed{}
		}
		select {
		case <-ctx.Done():
			return answerend.PortSilent{}
		case <-time.After(redialPortMillis * time.Millisecond):
		}
	}
}
