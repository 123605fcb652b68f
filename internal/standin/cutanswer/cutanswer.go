// Package cutanswer is a stand-in for a server that stops in the middle of an answer and closes
// the connection.
package cutanswer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// segmentBytes is the number of bytes that are sent at once when an answer comes in several segments.
const segmentBytes = 7

// headEnd terminates the head of an answer.
const headEnd = "\r\n\r\n"

// Answer is an answer of which only the beginning is sent.
type Answer struct {
	// Text is the whole answer, with its status line.
	Text string
	// Bytes is the number of bytes that are sent, at most the length of Text.
	Bytes int
	// Reset makes the connection end with a reset. Otherwise it is closed in order.
	Reset bool
	// Segmented makes the answer come in several segments.
	Segmented bool
}

// String describes the cut, for messages of tests.
func (a Answer) String() string {
	sent := a.Text[:a.Bytes]
	return fmt.Sprintf("%d of %d bytes, reset %t, segmented %t, ends with %q", a.Bytes, len(a.Text), a.Reset, a.Segmented, sent[max(0, len(sent)-20):])
}

// Cuts returns the text cut after each number of bytes below the given one, with an ordered close
// and with a reset, in one segment and in several.
func Cuts(text string, below int) []Answer {
	var all []Answer
	for n := range below {
		for _, reset := range []bool{false, true} {
			for _, segmented := range []bool{false, true} {
				all = append(all, Answer{Text: text, Bytes: n, Reset: reset, Segmented: segmented})
			}
		}
	}
	return all
}

// Whole returns a text as an answer that is sent whole.
func Whole(text string) Answer {
	return Answer{Text: text, Bytes: len(text)}
}

// brokenLines are lines that no head has.
var brokenLines = []string{
	"Bad Name: x", "Transfer-Encoding : chunked", "Na\x01me: x", "Na\x00me: x", ": x", "Name", " Name: x", "Name: a\x01b", "Name: a\rb: c",
}

// brokenStatuses are statuses that no answer has.
var brokenStatuses = []string{"000", "099", "600", "999", "20", "+20", "2000"}

// Broken returns texts of an answer with another status or a further line, which are no answers. They are sent whole.
func Broken(text string) []Answer {
	var all []Answer
	first, rest, _ := strings.Cut(text, "\r\n")
	for _, line := range brokenLines {
		all = append(all, Whole(first+"\r\n"+line+"\r\n"+rest))
	}
	for _, status := range brokenStatuses {
		all = append(all, Whole("HTTP/1.1 "+status+" Trouble\r\n"+rest))
	}
	return append(all, Whole(strings.Replace(text, "HTTP/1.1", "HTTP/2.0", 1)))
}

// CutBefore returns a text without its last bytes, or nothing of it if it is shorter.
func CutBefore(text string, missing int) Answer {
	return Answer{Text: text, Bytes: max(0, len(text)-missing)}
}

// HeadBytes returns the size of the first head in a text, with the empty line that ends it.
func HeadBytes(text string) int {
	return strings.Index(text, headEnd) + len(headEnd)
}

// Server is an http.Handler that answers each request with the answer that was set last. It is safe
// for concurrent use.
type Server struct {
	answer   atomic.Pointer[Answer]
	requests atomic.Int64
}

// Requests returns the number of requests that have arrived.
func (s *Server) Requests() int64 {
	return s.requests.Load()
}

// Set sets the answer to further requests.
func (s *Server) Set(a Answer) {
	s.answer.Store(&a)
}

// ServeHTTP sends the answer that was set last.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	s.answer.Load().Serve(w, r)
}

// Serve reads a request, as the kernel resets a connection that is closed with unread bytes, and
// sends the beginning of the answer.
func (a Answer) Serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		a.Send(conn)
	}
}

// Send sends the beginning of the answer and closes the connection.
func (a Answer) Send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	size := a.Bytes
	if a.Segmented {
		size = segmentBytes
	}
	for rest := a.Text[:a.Bytes]; rest != ""; {
		n := min(size, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
	if a.Reset {
		ResetOnClose(conn)
	}
}

// ResetOnClose makes the close of a connection a reset.
func ResetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
