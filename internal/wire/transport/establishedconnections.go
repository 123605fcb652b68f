package transport

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// closeListener closes a listener. It returns the connections that were established and
// not accepted, which the system would reset.
func closeListener(listener net.Listener) []net.Conn {
	var descriptors []int
	if tcp, ok := listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { descriptors = acceptAll(int(fd)) })
		}
	}
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
