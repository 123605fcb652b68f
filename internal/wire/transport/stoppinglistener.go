package transport

import (
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// handshakeMillis is the time for which a listener that stops still accepts connections. It is longer
// than the round trip of a handshake that has begun.
const handshakeMillis = 10

// StoppingListener is a TCP listener that can stop without a reset of the connections that are already
// established. Listener must be set before Accept, which only one goroutine may call.
type StoppingListener struct {
	net.Listener

	// established holds connections that were established before the listener was closed. Only Accept
	// uses it.
	established []net.Conn
	// acceptedLast is the number of connections that were ever in established.
	acceptedLast atomic.Int64
}

// AcceptedLast returns the number of connections that were established and not accepted when the listener
// was closed. Accept has returned them or will.
func (l *StoppingListener) AcceptedLast() int {
	return int(l.acceptedLast.Load())
}

// Accept waits for the next connection. After StopAccepting it returns the connections that are
// established, and then net.ErrClosed.
func (l *StoppingListener) Accept() (net.Conn, error) {
	if len(l.established) == 0 {
		conn, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		l.established = closeListener(l.Listener)
		l.acceptedLast.Store(int64(len(l.established)))
	}
	if len(l.established) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.established[0]
	l.established = l.established[1:]
	return conn, nil
}

// StopAccepting makes Accept close the listener soon. Meanwhile the system refuses new connections, so
// that none is established that the close would reset.
func (l *StoppingListener) StopAccepting() {
	// On a system that does not know the option, connections may still be established just before the close.
	_ = withSocket(l.Listener, refuseConnects)
	type deadliner interface{ SetDeadline(time.Time) error }
	listener, ok := l.Listener.(deadliner)
	if !ok || listener.SetDeadline(time.Now().Add(handshakeMillis*time.Millisecond)) != nil {
		_ = l.Close()
	}
}

// noInterface is the index of a network interface that does not exist.
const noInterface = math.MaxInt32

// refuseConnects makes the system refuse new connections to a listener, as no interface that it is bound
// to receives them. Handshakes that have begun are completed.
func refuseConnects(listener int) error {
	return unix.SetsockoptInt(listener, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
}

// closeListener closes a listener. It returns the connections that were established and
// not accepted, which the system would reset.
func closeListener(listener net.Listener) []net.Conn {
	var descriptors []int
	_ = withSocket(listener, func(descriptor int) error {
		descriptors = acceptAll(descriptor)
		return nil
	})
	_ = listener.Close()
	var established []net.Conn
	for _, descriptor := range descriptors {
		if conn, err := connOf(descriptor); err == nil {
			established = append(established, conn)
		}
	}
	return established
}

// acceptAll accepts connections until none is left.
func acceptAll(listener int) []int {
	var accepted []int
	for {
		descriptor, _, err := unix.Accept4(listener, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		switch err { //nolint:errorlint // a system call returns its number
		case nil:
			accepted = append(accepted, descriptor)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return accepted
		}
	}
}

// connOf returns the connection of a descriptor, which it closes.
func connOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "caller")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
