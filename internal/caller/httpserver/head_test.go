package httpserver

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestCheckHead(t *testing.T) {
	cases := []struct {
		name string
		head string
		ok   bool
	}{
		{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", true},
		{"chunks", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"odd path", "GET //a/../b%2F?x=%20 HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"no host", "GET / HTTP/1.1\r\n\r\n", false},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", false},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", false},
		{"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n", false},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
		{"bare line feed", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", false},
		{"bare return", "GET / HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n", false},
		{"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", false},
		{"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", false},
		{"zero byte", "GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", false},
		{"four parts", "GET / x HTTP/1.1\r\nHost: a\r\n\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := checkHead([]byte(c.head))
			is.Equal(err == nil, c.ok)
			is.True(err == nil || errors.Is(err, ErrMalformed))
		})
	}
}

// FuzzCheckHead checks that an accepted head never has both a Content-Length and
// a Transfer-Encoding when net/http parses it.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		end := bytes.Index(head, headEnd)
		if end < 0 {
			return
		}
		head = head[:end+len(headEnd)]
		if checkHead(head) != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		if len(request.TransferEncoding) > 0 && request.Header.Get("Content-Length") != "" {
			t.Fatalf("both framings accepted: %q", head)
		}
	})
}
