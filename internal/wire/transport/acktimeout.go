package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// SetAckTimeout ends a TCP connection whose other side does not
// acknowledge what was sent for that many milliseconds. Other connections stay
// as they are.
func SetAckTimeout(conn net.Conn, millis int) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	if err != nil {
		return err
	}
	return failed
}
