package endtoend

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// How a caller uses its connections.
const (
	usesKept      = "kept"
	usesNew       = "new"
	usesPipeline  = "pipelined"
	sendsSlowHead = "slow head"
	sendsSlowBody = "slow body"
	usesOldHTTP   = "HTTP/1.0"
)

// stopCallModes holds the way in which each caller uses its connections.
var stopCallModes = []string{
	usesKept, usesNew, usesKept, usesNew, usesPipeline, sendsSlowHead, sendsSlowBody, usesOldHTTP,
	usesKept, usesNew, sendsSlowHead, sendsSlowBody, usesNew, usesKept,
}

// giveUpMillis is the time after its deadline at which a caller stops waiting.
const giveUpMillis = 1500

// errNotReached says that the connection had ended before the reply of a pipelined request was due.
var errNotReached = errors.New("connection ended with an earlier reply")

// stopCall is one request of a caller with its reply.
type stopCall struct {
	request callerRequest
	host    *stopHost
	mode    string
	// begunAt and sentAt are the times at which the first and the last byte were sent.
	begunAt, sentAt, endedAt time.Time
	// partial says that the connection ended before all bytes could be sent.
	partial bool
	// reused says that the connection had carried a request before.
	reused bool
	reply  callerReply
}

// stopCallLog records all calls.
type stopCallLog struct {
	mu    sync.Mutex
	calls []*stopCall
	// refused counts the connections that no process accepted.
	refused int
}

func (l *stopCallLog) add(calls ...*stopCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, calls...)
}

func (l *stopCallLog) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	host   *stopHost
	reused bool
}

// isOpen reports whether the host has neither closed the connection nor sent anything unasked.
func (c *callerConn) isOpen() bool {
	const lookMillis = 3
	_ = c.SetReadDeadline(time.Now().Add(lookMillis * time.Millisecond))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// callerCount returns the number of callers.
func (s *stopSoak) callerCount() int {
	const lightCallers = 4
	if *soakStopLight {
		return lightCallers
	}
	return len(stopCallModes)
}

// callHosts sends requests until all stops have ended. A kept connection is used until its host closes it.
func (s *stopSoak) callHosts(caller int, random *rand.Rand) {
	const pauseMillis, inPipeline = 60, 3
	mode := stopCallModes[caller%len(stopCallModes)]
	var conn *callerConn
	for n := 0; !s.finished.Load(); {
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
		if conn != nil && !conn.isOpen() {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			if conn = s.dial(random); conn == nil {
				continue
			}
		}
		var calls []*stopCall
		for range cmp.Or(map[string]int{usesPipeline: 1 + random.IntN(inPipeline)}[mode], 1) {
			n++
			calls = append(calls, &stopCall{
				request: randomStopRequest(fmt.Sprintf("c%d-%d", caller, n), mode, random), host: conn.host, mode: mode, reused: conn.reused,
			})
		}
		open := s.exchange(conn, calls, random)
		conn.reused = true
		s.calls.add(calls...)
		if !open || mode == usesNew || mode == usesOldHTTP {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// dial connects to a host; it returns nil if no process accepts the connection.
func (s *stopSoak) dial(random *rand.Rand) *callerConn {
	h := s.chooseHost(random)
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", h.callerAddress)
	if err != nil {
		s.calls.refuse()
		return nil
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn), host: h}
}

// randomStopRequest returns a request of a random kind: calls that may run once or be repeated, and
// streams that are short, long, resumable, or so large that they wait for room.
func randomStopRequest(id, mode string, random *rand.Rand) callerRequest {
	const shortEvents, longEvents, largePrompt = 40, 400, 10_000
	r := callerRequest{method: http.MethodPost, target: plainPath, id: id, key: platformKey, body: "{}"}
	deadlines := []int{2500, 5000, 8000}
	r.deadlineMillis = deadlines[random.IntN(len(deadlines))]
	kind := random.IntN(7)
	if *soakStopLight {
		kind %= 2
	}
	if mode == sendsSlowBody {
		r.body = strings.Repeat("b", 1000)
	}
	if kind == 0 {
		r.target = oncePath
	}
	if kind < 3 {
		return r
	}
	r.target = streamPath + "x"
	if kind%2 == 0 {
		r.target = resumablePath
	}
	events := 1 + random.IntN(shortEvents)
	if random.IntN(3) == 0 {
		events = 1 + random.IntN(longEvents)
	}
	if random.IntN(4) == 0 {
		r.prompt = largePrompt
	}
	r.tokens = eventTokens * events
	return r
}

// text returns the bytes of the request.
func (c *stopCall) text() string {
	protocol := "HTTP/1.1"
	if c.mode == usesOldHTTP {
		protocol = "HTTP/1.0"
	}
	r := c.request
	text := fmt.Sprintf("%s %s %s\r\nHost: %s\r\nX-Api-Key: %s\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		r.method, r.target, protocol, platformHost, r.key, r.id, r.deadlineMillis, len(r.body))
	if r.tokens > 0 {
		text += fmt.Sprintf("Fulmarvalve-Token-Usage: %d,%d\r\n", cmp.Or(r.prompt, smallPrompt), r.tokens)
	}
	return text + "\r\n" + r.body
}

// exchange sends the requests and reads their replies. It reports whether the connection can be used again.
func (s *stopSoak) exchange(conn *callerConn, calls []*stopCall, random *rand.Rand) bool {
	var text strings.Builder
	for _, c := range calls {
		text.WriteString(c.text())
	}
	begunAt := time.Now()
	sent := sendInParts(conn, text.String(), calls[0].mode, random)
	sentAt := time.Now()
	open := true
	for _, c := range calls {
		c.begunAt, c.sentAt, c.partial = begunAt, sentAt, !sent
		c.reply.err = errNotReached
		if open {
			open = c.read(conn)
		}
		c.endedAt = time.Now()
	}
	return open
}

// sendInParts sends the text, in several parts with pauses if the mode demands it. It reports whether
// all was sent.
func sendInParts(conn net.Conn, text, mode string, random *rand.Rand) bool {
	const mostParts, pauseMillis = 5, 400
	from := 0
	switch mode {
	case sendsSlowHead:
	case sendsSlowBody:
		from = strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	default:
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	if _, err := io.WriteString(conn, text[:from]); err != nil {
		return false
	}
	for range 1 + random.IntN(mostParts) {
		next := from + random.IntN(len(text)-from)
		if _, err := io.WriteString(conn, text[from:next]); err != nil {
			return false
		}
		from = next
		time.Sleep(time.Duration(random.IntN(pauseMillis)) * time.Millisecond)
	}
	_, err := io.WriteString(conn, text[from:])
	return err == nil
}

// read reads the reply and reports whether the connection can be used again.
func (c *stopCall) read(conn *callerConn) bool {
	_ = conn.SetReadDeadline(c.giveUpAt())
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: c.request.method})
	if err != nil {
		c.reply = callerReply{err: err}
		return false
	}
	closes := response.Close || response.Header.Get("Connection") == "close"
	c.reply = readReply(response)
	return c.reply.err == nil && !closes
}

// giveUpAt returns the time at which the caller stops waiting.
func (c *stopCall) giveUpAt() time.Time {
	return time.Now().Add(time.Duration(c.request.deadlineMillis+giveUpMillis) * time.Millisecond)
}

// once reports whether the request may run only once.
func (c *stopCall) once() bool {
	return c.request.target == oncePath || strings.HasPrefix(c.request.target, streamPath)
}
