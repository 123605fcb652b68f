package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// SetAckTimeout sets the time, in milliseconds, after which a TCP connection is closed
// because the peer has not acknowledged sent data. It has no effect on connections of
// other types.
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
