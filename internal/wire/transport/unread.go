package transport

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes have arrived on a TCP connection that were not read. Unlike a read with
// a time limit, it does not depend on how soon the process runs.
func HasUnread(conn net.Conn) bool {
	count := 0
	_ = withSocket(conn, func(descriptor int) (err error) {
		count, _, err = unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err
	})
	return count > 0
}

// errNoSocket means that a connection or listener has no socket.
var errNoSocket = errors.New("connection or listener without a socket")

// withSocket calls use with the descriptor of a connection or listener.
func withSocket(owner any, use func(descriptor int) error) error {
	socket, ok := owner.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	var used error
	err = raw.Control(func(fd uintptr) { used = use(int(fd)) })
	return errors.CombineErrors(err, used)
}
