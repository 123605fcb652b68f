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

// ListenCallers opens a TCP listener at address, which is a host and a port. Its connections receive only few bytes
// that are not read, as callers may be many.
func ListenCallers(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// On a system without the option, connections receive as much as usual.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, NarrowBytes)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}

// SetReceiveBuffer sets what a connection may receive, roughly, before it is read.
func SetReceiveBuffer(conn net.Conn, bytes int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes)
	}
}
