package transport

import "time"

// EndRead ends the reads of a connection, the one in progress and each further one, with
// os.ErrDeadlineExceeded. They are possible again when another read deadline is set.
func EndRead(conn interface{ SetReadDeadline(time.Time) error }) error {
	return conn.SetReadDeadline(time.Unix(1, 0)) // in the past
}
