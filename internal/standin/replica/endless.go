package replica

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Endless makes a server send bytes without end in place of each answer, until the client closes.
type Endless struct {
	// Beginning comes first. It may name the request ID as %s.
	Beginning string
	// Repeated follows again and again.
	Repeated string
	// AtOnceBytes is how much is sent at once; zero for all. What follows comes byte by byte.
	AtOnceBytes int
}

// AnswerHead is the beginning of the head of a whole answer, for Endless.
const AnswerHead = "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: s\r\n"

// send sends the bytes until the client has closed the connection.
func (e Endless) send(w http.ResponseWriter, q *http.Request) {
	const (
		pieceBytes  = 16 << 10
		pauseMicros = 1000
	)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	beginning := e.Beginning
	if strings.Contains(beginning, "%s") {
		beginning = fmt.Sprintf(beginning, q.Header.Get("Fulmarvalve-Request-Id"))
	}
	if _, err := conn.Write([]byte(beginning)); err != nil {
		return
	}
	piece := []byte(strings.Repeat(e.Repeated, max(pieceBytes/len(e.Repeated), 1)))
	for sent := 0; e.AtOnceBytes == 0 || sent < e.AtOnceBytes; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
	for at := 0; ; at++ {
		at %= len(piece)
		if _, err := conn.Write(piece[at : at+1]); err != nil {
			return
		}
		time.Sleep(pauseMicros * time.Microsecond)
	}
}
