package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestLateEndAnswersOpenRequests guards against requests whose connections are reset without an answer
// because the process stood still at the end of its grace period and handles that end late.
func TestLateEndAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		sent   string
		status int
	}{
		"handled":            {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", http.StatusBadGateway},
		"body is being read": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const lateMillis = 50
			s := startStoppable(t, untilStopped{})
			conn := dial(t, s.address)
			_, err := io.WriteString(conn, tt.sent)
			is.NoErr(err)
			for s.Open() == 0 {
				time.Sleep(time.Millisecond)
			}
			s.CloseBy(boottime.Now().AddMillis(-lateMillis))
			s.end()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, tt.status)
			is.NoErr(response.Body.Close())
		})
	}
}
