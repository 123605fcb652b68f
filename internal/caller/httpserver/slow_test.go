package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// endlessHandler writes responses that never end and reports the write error
// that stops them. Requests for /short get a short, complete response.
type endlessHandler struct {
	failed chan error
}

func (h endlessHandler) Handle(x *Exchange) {
	if x.Request.RequestURI == "/short" {
		x.Respond(http.StatusOK, make(http.Header), []byte("short"))
		return
	}
	x.Begin(http.StatusOK, make(http.Header))
	part := []byte(strings.Repeat("p", 64<<10))
	for {
		if err := x.Send(part); err != nil {
			h.failed <- err
			x.Abort()
			return
		}
	}
}

// TestCallerThatDoesNotReadTimesOut checks that a caller that does not read its
// response blocks only that response, and only until the write timeout.
func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	handler := endlessHandler{failed: make(chan error, 1)}
	address := startHandler(t, handler, routetable.Limits{})
	stalled := dial(t, address)
	_, err := io.WriteString(stalled, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	const slackMillis = 1500
	timeout := time.After((writeTimeoutMillis + slackMillis) * time.Millisecond)
	for {
		other := dial(t, address)
		sent := time.Now()
		_, err := io.WriteString(other, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(other), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.True(time.Since(sent) < time.Second)
		select {
		case err := <-handler.failed:
			is.True(err != nil)
			return
		case <-timeout:
			t.Fatalf("response to a caller that does not read was not aborted within %d ms", writeTimeoutMillis+slackMillis)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// TestSlowBodyIsReadCompletely checks that a body that arrives in small parts,
// for longer than the limit for request heads, is read completely.
func TestSlowBodyIsReadCompletely(t *testing.T) {
	t.Parallel()
	const parts, pause = 20, 50 * time.Millisecond
	for name, head := range map[string]string{
		"with a length": "Content-Length: " + strconv.Itoa(parts) + "\r\n\r\n",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t, startServer(t, routetable.Limits{HeaderMillis: 300}))
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+head)
			is.NoErr(err)
			chunked := strings.Contains(head, "chunked")
			for range parts {
				text := "b"
				if chunked {
					text = "1\r\nb\r\n"
				}
				_, err := io.WriteString(conn, text)
				is.NoErr(err)
				time.Sleep(pause)
			}
			if chunked {
				_, err := io.WriteString(conn, "0\r\n\r\n")
				is.NoErr(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), strings.Repeat("b", parts))
		})
	}
}

// recordingHandler records the request URIs that reach it.
type recordingHandler struct{ handled chan string }

func (h recordingHandler) Handle(x *Exchange) {
	h.handled <- x.Request.RequestURI
	x.Respond(http.StatusOK, make(http.Header), nil)
}

// TestTruncatedBodyIsNotHandled checks that a request whose body ends early never
// reaches the handler.
func TestTruncatedBodyIsNotHandled(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"short of its length": "POST /broken HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf",
		"in a chunk":          "POST /broken HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha",
		"between chunks":      "POST /broken HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nha\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := recordingHandler{handled: make(chan string, 2)}
			address := startHandler(t, handler, routetable.Limits{})
			broken := dial(t, address)
			_, err := io.WriteString(broken, text)
			is.NoErr(err)
			is.NoErr(broken.Close())
			whole := dial(t, address)
			_, err = io.WriteString(whole, "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			_, err = http.ReadResponse(bufio.NewReader(whole), nil) //nolint:bodyclose // the response has no body
			is.NoErr(err)
			is.Equal(<-handler.handled, "/whole")
			is.Equal(len(handler.handled), 0)
		})
	}
}
