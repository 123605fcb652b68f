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

// awaitState waits until a connection is in a state.
func (s runningServer) awaitState(state connectionState) {
	for found := false; !found; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for c := range s.connections {
			found = found || c.state == state
		}
		s.mu.Unlock()
	}
}

// lateAfterStop is a handler that runs late when its exchange is cancelled.
type lateAfterStop struct{ lateMillis int }

func (h lateAfterStop) Handle(x *Exchange) {
	<-x.Context.Done()
	time.Sleep(time.Duration(h.lateMillis) * time.Millisecond)
	x.Respond(http.StatusBadGateway, make(http.Header), nil)
}

// TestEndAwaitsLateHandlers guards against connections that are reset although their handlers are about to
// answer, in a process that gets no processor.
func TestEndAwaitsLateHandlers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startStoppable(t, lateAfterStop{lateMillis: 2 * lastResponseMillis})
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	s.awaitState(handling)
	s.end()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.NoErr(response.Body.Close())
}

// TestLateEndAnswersOpenRequests guards against requests whose connections are reset without an answer
// because the process stood still at the end of its grace period and handles that end late.
func TestLateEndAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		sent   string
		state  connectionState
		status int
	}{
		"handled":            {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", handling, http.StatusBadGateway},
		"body is being read": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx", reading, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const lateMillis = 50
			s := startStoppable(t, untilStopped{})
			conn := dial(t, s.address)
			_, err := io.WriteString(conn, tt.sent)
			is.NoErr(err)
			s.awaitState(tt.state)
			s.CloseBy(boottime.Now().AddMillis(-lateMillis))
			s.end()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, tt.status)
			is.NoErr(response.Body.Close())
		})
	}
}
