package answerhead

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestCheck checks what is the head of an answer, and what is none.
func TestCheck(t *testing.T) {
	for name, tt := range map[string]struct {
		head   string
		status int
	}{
		"whole":                       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 200},
		"no reason":                   {"HTTP/1.0 503\r\n\r\n", 503},
		"empty reason":                {"HTTP/1.1 404 \r\n\r\n", 404},
		"least status":                {"HTTP/1.1 100 Continue\r\n\r\n", 100},
		"greatest status":             {"HTTP/1.1 599 x\r\n\r\n", 599},
		"same length twice":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\n", 200},
		"tab in a value, no blank":    {"HTTP/1.1 200 OK\r\nName:a\tb\r\nÄ: x\r\n\r\n", 0},
		"tab in a value":              {"HTTP/1.1 200 OK\r\nName:a\tb\r\nEmpty:\r\n\r\n", 200},
		"text beyond ASCII in values": {"HTTP/1.1 200 \xc3\x84\r\nName: \xc3\x84\r\n\r\n", 200},
		"status 099":                  {"HTTP/1.1 099 x\r\n\r\n", 0},
		"status 600":                  {"HTTP/1.1 600 x\r\n\r\n", 0},
		"control byte in the reason":  {"HTTP/1.1 200 O\x01K\r\n\r\n", 0},
		"other protocol":              {"HTTP/2.0 200 OK\r\n\r\n", 0},
		"lengths that differ":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", 0},
		"length and chunks":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
		"continued line":              {"HTTP/1.1 200 OK\r\nName: a\r\n b\r\n\r\n", 200},
		"bare line feeds":             {"HTTP/1.1 200 OK\nName: a\n\n", 200},
		"bare carriage return":        {"HTTP/1.1 200 OK\r\nName: a\rb: c\r\n\r\n", 0},
		"first line continued":        {"HTTP/1.1 200 OK\r\n Name: a\r\n\r\n", 0},
		"length continued":            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\n", 0},
		"chunks continued":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n , x\r\n\r\n", 0},
		"control byte, continued":     {"HTTP/1.1 200 OK\r\nName: a\r\n b\x01\r\n\r\n", 0},
		"no line end":                 {"HTTP/1.1 200 OK\r\nName\r\n\r\n", 0},
		"blank in a name":             {"HTTP/1.1 200 OK\r\nA b: x\r\n\r\n", 0},
		"head within a value":         {"HTTP/1.1 200 OK\r\nName: HTTP/1.1 200 OK\r\n\r\n", 0},
		"head within a reason":        {"HTTP/1.1 200 OHTTP/1.1 200 OK\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, err := Check([]byte(tt.head))
			is.Equal(status, tt.status)
			is.Equal(errors.Is(err, ErrNoAnswer), tt.status == 0)
		})
	}
}

// TestReader checks that the answers of a connection are read one after the other, in whatever pieces they come, and
// with a head that is larger than the buffer.
func TestReader(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("Name: "+strings.Repeat("x", 100)+"\r\n", 200)
	text := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + large + "Content-Length: 5\r\n\r\nfirst" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\nHTTP/1.1 000 x\r\n\r\n"
	for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		reader := NewReader(source)
		request := &http.Request{Method: http.MethodGet}
		answer, err := reader.Read(request)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusEarlyHints)
		for _, want := range []string{"first", "second"} {
			answer, err = reader.Read(request)
			is.NoErr(err)
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(string(body), want)
		}
		_, err = reader.Read(request)
		is.True(errors.Is(err, ErrNoAnswer))
	}
}

// TestHeadWithoutEnd guards against a head that is read without end.
func TestHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nName: " + strings.Repeat("x", 2*maxBytes))).Read(nil)
	is.True(errors.Is(err, ErrTooLarge))
}
