package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// TestKeptConnectionContinuesLateRequest guards against a kept connection that is closed without an
// answer when its next request expects to be continued after the write timeout of the last response.
func TestKeptConnectionContinuesLateRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	conn := dial(t, startServer(t, routetable.Limits{}))
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(reader, nil) //nolint:bodyclose // the response has no body
	is.NoErr(err)
	time.Sleep((writeTimeoutMillis + 100) * time.Millisecond)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // an informational response has no body
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusContinue)
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	response, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
}
