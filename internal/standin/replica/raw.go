package replica

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
)

// rawEndMillis is the time from an early answer to the end of its connection, in which the client goes on to
// send its request.
const rawEndMillis = 200

// RawAnswer is an answer that is sent as it stands, after which the server ends the connection.
type RawAnswer struct {
	// Text is the answer. It may name the request ID as %s.
	Text string
	// Early makes the server answer without reading the body of the request.
	Early bool
	// ReadsLate makes it read the body after its early answer, before it ends the connection.
	ReadsLate bool
	// Reset makes the connection end with a reset.
	Reset bool
}

// readBody reads the body of a request, unless the answer comes before. A nil RawAnswer does not.
func (a *RawAnswer) readBody(q *http.Request) []byte {
	if a != nil && a.Early {
		return nil
	}
	body, _ := io.ReadAll(q.Body)
	return body
}

// Serve answers a request.
func (a *RawAnswer) Serve(w http.ResponseWriter, q *http.Request) {
	a.readBody(q)
	a.send(w, q)
}

// send sends the answer.
func (a *RawAnswer) send(w http.ResponseWriter, q *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := strings.ReplaceAll(a.Text, "%s", q.Header.Get("Fulmarvalve-Request-Id"))
	if !a.Early {
		answer := cutanswer.Whole(text)
		answer.Reset = a.Reset
		answer.Send(conn)
		return
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	time.Sleep(rawEndMillis * time.Millisecond)
	if a.ReadsLate {
		_, _ = io.CopyN(io.Discard, buffer, q.ContentLength)
	}
	if a.Reset {
		cutanswer.ResetOnClose(conn)
	}
}
