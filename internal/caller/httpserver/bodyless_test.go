package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

// withStatus responds with a status and no body.
type withStatus int

func (s withStatus) Handle(x *Exchange) {
	x.Respond(int(s), make(http.Header), nil)
}

// TestResponseWithoutBodyNamesNoLength guards against a response that never has a body and that names the
// length zero, which is that of the body that another method or status would have.
func TestResponseWithoutBodyNamesNoLength(t *testing.T) {
	for name, tt := range map[string]struct {
		method string
		status int
		length []string
	}{
		"head":         {http.MethodHead, http.StatusOK, nil},
		"no content":   {http.MethodGet, http.StatusNoContent, nil},
		"not modified": {http.MethodGet, http.StatusNotModified, nil},
		"empty":        {http.MethodGet, http.StatusOK, []string{"0"}},
		"failure":      {http.MethodGet, http.StatusBadGateway, []string{"0"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := dial(t, startHandler(t, withStatus(tt.status), routetable.Limits{}))
			reader := bufio.NewReader(conn)
			for range 2 { // the connection stays usable
				_, err := io.WriteString(conn, tt.method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				response, err := http.ReadResponse(reader, &http.Request{Method: tt.method})
				is.NoErr(err)
				is.Equal(response.StatusCode, tt.status)
				is.Equal(response.Header.Values("Content-Length"), tt.length)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(len(body), 0)
			}
		})
	}
}
