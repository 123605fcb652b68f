package transport

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// NarrowBytes is what a connection of a caller may receive, roughly, before it is read. The kernel takes up to half
// as much again.
const NarrowBytes = 8 << 10

// mostNarrowBytes is the most that a connection receives before it is read.
const mostNarrowBytes = NarrowBytes * 3 / 2

// ListenCallers opens a TCP listener at address, which is a host and a port. Its connections receive only few bytes
// that are not read, as callers may be many. Those that are not accepted may receive queueBytes together; zero for no
// bound. Beyond, the system lets callers try again.
func ListenCallers(ctx context.Context, address string, queueBytes int64) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// On a system without the option, connections receive as much as usual.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, NarrowBytes)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil || queueBytes == 0 {
		return listener, errors.Wrapf(err, "listen at %s", address)
	}
	// On a system that does not change the queue of a listener, it is the usual one.
	_ = withSocket(listener, func(descriptor int) error {
		return unix.Listen(descriptor, int(queueBytes/mostNarrowBytes))
	})
	return listener, nil
}

// SetReceiveBuffer sets what a connection may receive, roughly, before it is read.
func SetReceiveBuffer(conn net.Conn, bytes int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes)
	}
}
