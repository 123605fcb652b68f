package endtoend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

const (
	// crowdPieceBytes is what a member of a crowd writes at once of a body that it sends piece by piece.
	crowdPieceBytes = 64 << 10
	// crowdPieceMillis is the pause between two such pieces.
	crowdPieceMillis = 5
	// crowdWholeShare is the share, as a divisor, of the members that send their requests whole.
	crowdWholeShare = 4
	// crowdWatchMillis is the period at which the memory of a crowded process is read.
	crowdWatchMillis = 10
	// frozenDialMillis is the time after which a member gives up that is not connected as the process stands still.
	frozenDialMillis = 1500
	// endlessBytes is what a member sends of a body far over the limit.
	endlessBytes = 64 << 20
	// socketEstablished and socketCloseWait are states in which a socket may hold received bytes.
	socketEstablished, socketCloseWait = "01", "08"
)

// crowdShape is what each member of a crowd sends.
type crowdShape struct {
	name string
	// headers frame a body of the given size.
	headers func(bytes int) string
	// body sends a body. A member that stops short leaves out its last bytes.
	body func(w io.Writer, body string, short bool) error
	// over says that the body is over the limit, so that all members are refused.
	over bool
}

// crowdShapes are the shapes of bodies that a crowd sends.
func crowdShapes() []crowdShape {
	length := func(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }
	chunked := func(int) string { return "Transfer-Encoding: chunked\r\n" }
	return []crowdShape{
		{name: "whole", headers: length, body: func(w io.Writer, body string, short bool) error {
			return writePieces(w, body, len(body), short, 0)
		}},
		{name: "piece by piece", headers: length, body: func(w io.Writer, body string, short bool) error {
			return writePieces(w, body, crowdPieceBytes, short, crowdPieceMillis)
		}},
		{name: "large chunks", headers: chunked, body: func(w io.Writer, body string, short bool) error {
			return writePieces(w, chunks(body, 256<<10), crowdPieceBytes, short, 0)
		}},
		{name: "small chunks", headers: chunked, body: func(w io.Writer, body string, short bool) error {
			return writePieces(w, chunks(body, 4), crowdPieceBytes, short, 0)
		}},
		{name: "over the limit, announced", over: true, headers: func(int) string { return length(1 << 30) }, body: writeEndless},
		{name: "over the limit, sent", over: true, headers: chunked, body: func(w io.Writer, body string, _ bool) error {
			return writeEndless(w, chunk(body[:crowdPieceBytes]), true)
		}},
	}
}

// chunk returns one chunk.
func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// chunks returns a whole body in chunks of the given size.
func chunks(body string, bytes int) string {
	var all strings.Builder
	for len(body) > 0 {
		n := min(bytes, len(body))
		all.WriteString(chunk(body[:n]))
		body = body[n:]
	}
	all.WriteString("0\r\n\r\n")
	return all.String()
}

// writePieces writes a text in pieces, with a pause after each. If it stops short, it leaves out the last bytes.
func writePieces(w io.Writer, text string, pieceBytes int, short bool, pauseMillis int) error {
	const missing = 8
	if short {
		text = text[:len(text)-missing]
	}
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(time.Duration(pauseMillis) * time.Millisecond)
	}
	return nil
}

// writeEndless writes a text again and again.
func writeEndless(w io.Writer, text string, _ bool) error {
	for sent := 0; sent < endlessBytes; sent += len(text) {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// crowded is a process that a crowd of callers connects to.
type crowded struct {
	t       *testing.T
	process *program
	// address is that of the listener for callers.
	address string
	// memoryMegabytes is the memory of its host.
	memoryMegabytes int
	// head returns the head of a request without its last, empty line and without the framing of its body.
	head func(id string) string
	// body returns a body of the given size for a request.
	body func(id string, bytes int) string
	// bodyBytes is the size of the largest body inside the limits.
	bodyBytes int
	// reached reports whether the request was run by a server.
	reached func(id string) bool

	// mostBytes is the most memory that was seen, with what was received and not read.
	mostBytes atomic.Int64
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
	// refused counts the members of the crowd that were refused, and answered those that were answered.
	refused, answered atomic.Int64
	// wrong is the first response that no member should get.
	wrong atomic.Pointer[string]
}

// watch records the use of memory and descriptors until the returned function is called.
func (c *crowded) watch() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			c.record()
			time.Sleep(crowdWatchMillis * time.Millisecond)
		}
		return nil
	})
	return func() {
		cancel()
		_ = group.Wait()
	}
}

// record records the use of memory and descriptors.
func (c *crowded) record() {
	pid := c.process.command.Process.Pid
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	c.mostDescriptors.Store(max(c.mostDescriptors.Load(), int64(len(descriptors))))
	bytes := int64(residentMegabytes(pid))<<20 + unreadBytes(c.address)
	c.mostBytes.Store(max(c.mostBytes.Load(), bytes))
}

// unreadBytes returns what the connections to an address have received and their process has not read.
func unreadBytes(address string) int64 {
	const (
		localField, stateField, queueField = 1, 3, 4
		hexadecimal, wordBits              = 16, 64
	)
	table, _ := os.ReadFile("/proc/net/tcp")
	local := hexAddress(address)
	var sum int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || fields[localField] != local {
			continue
		}
		if state := fields[stateField]; state != socketEstablished && state != socketCloseWait {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		bytes, _ := strconv.ParseInt(received, hexadecimal, wordBits)
		sum += bytes
	}
	return sum
}

// hexAddress returns an IPv4 address and its port in the form in which the kernel lists it.
func hexAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
}

// ordinary sends a small request and checks that it is answered.
func (c *crowded) ordinary(id string) {
	c.t.Helper()
	c.answers(id, crowdShapes()[0], 1<<10)
}

// answers sends a whole request with a body of the given size and checks that it is answered.
func (c *crowded) answers(id string, shape crowdShape, bytes int) {
	c.t.Helper()
	is := is.New(c.t)
	conn, err := net.Dial("tcp", c.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(waitDeadline()))
	_, err = io.WriteString(conn, c.head(id)+shape.headers(bytes)+"\r\n")
	is.NoErr(err)
	is.NoErr(shape.body(conn, c.body(id, bytes), false))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("%s: got status %d with %q", id, response.StatusCode, text)
	}
	is.True(c.reached(id))
}

// join opens the connections of a crowd and lets each send. It returns once all have sent what they send, or
// were refused, and a function that closes the connections.
func (c *crowded) join(members int, send func(n int, conn net.Conn)) (leave func()) {
	c.t.Helper()
	conns := make([]net.Conn, members)
	var sending, reading errgroup.Group
	for n := range conns {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			continue // the process refuses connections, which it may
		}
		conns[n] = conn
		sending.Go(func() error {
			_ = conn.SetWriteDeadline(waitDeadline())
			send(n, conn)
			return nil
		})
		reading.Go(func() error {
			c.read(crowdID(n), conn)
			return nil
		})
	}
	_ = sending.Wait()
	return func() {
		closeAll(conns)
		_ = reading.Wait()
	}
}

// closeAll closes the connections that were made.
func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// joinFrozen is join for a process that stands still meanwhile. Not all may be connected until it goes on.
func (c *crowded) joinFrozen(members int, send func(n int, conn net.Conn)) (leave func()) {
	c.t.Helper()
	c.process.freeze()
	conns := make([]net.Conn, members)
	var group errgroup.Group
	for n := range conns {
		group.Go(func() error {
			// The system may leave connections without an answer.
			if conn, err := net.DialTimeout("tcp", c.address, frozenDialMillis*time.Millisecond); err == nil {
				conns[n] = conn
				_ = conn.SetWriteDeadline(time.Now().Add(frozenDialMillis * time.Millisecond))
				send(n, conn)
			}
			return nil
		})
	}
	_ = group.Wait()
	c.record()
	c.process.thaw()
	return func() { closeAll(conns) }
}

// read reads what a member of a crowd gets. A response that promises that its request has not run keeps that.
func (c *crowded) read(id string, conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	wrong := ""
	switch response.StatusCode {
	case http.StatusOK:
		c.answered.Add(1)
	case http.StatusRequestEntityTooLarge, http.StatusRequestTimeout, http.StatusRequestHeaderFieldsTooLarge, http.StatusBadRequest:
		c.refused.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.refused.Add(1)
		if c.reached(id) {
			wrong = fmt.Sprintf("%s ran although its response is %d", id, response.StatusCode)
		}
		if response.Header.Get("Retry-After") == "" {
			wrong = fmt.Sprintf("%s was refused with %d without Retry-After", id, response.StatusCode)
		}
	default:
		wrong = fmt.Sprintf("%s got %d", id, response.StatusCode)
	}
	if wrong != "" {
		c.wrong.CompareAndSwap(nil, &wrong)
	}
}

// crowdID returns the request ID of a member of a crowd.
func crowdID(n int) string {
	return fmt.Sprint("crowd-", n)
}

// sendBody sends the request of a member in a shape. Most members stop short of the end.
func (c *crowded) sendBody(shape crowdShape) func(n int, conn net.Conn) {
	return func(n int, conn net.Conn) {
		body := c.body(crowdID(n), c.bodyBytes)
		if _, err := io.WriteString(conn, c.head(crowdID(n))+shape.headers(len(body))+"\r\n"); err != nil {
			return
		}
		_ = shape.body(conn, body, n%crowdWholeShare != 0)
	}
}

// sendHead sends a head that stops short of its end.
func (c *crowded) sendHead(bytes int) func(n int, conn net.Conn) {
	return func(n int, conn net.Conn) {
		head := c.head(crowdID(n)) + "Padding: "
		_, _ = io.WriteString(conn, head+strings.Repeat("x", bytes-len(head)))
	}
}

// sendThenIdle sends one request with a head of the given size, awaits its response, and stays.
func (c *crowded) sendThenIdle(bytes int) func(n int, conn net.Conn) {
	return func(n int, conn net.Conn) {
		head := c.head(crowdID(n)) + "Content-Length: 2\r\nPadding: "
		_, _ = io.WriteString(conn, head+strings.Repeat("x", bytes-len(head))+"\r\n\r\n{}")
	}
}

// stay does not send anything.
func stay(int, net.Conn) {}

// checkCrowdsOfBodies checks processes under crowds of large bodies, one process for each shape.
func checkCrowdsOfBodies(t *testing.T, members int, start func(t *testing.T) *crowded) {
	t.Helper()
	for _, shape := range crowdShapes() {
		t.Run(shape.name, func(t *testing.T) {
			c := start(t)
			if !shape.over {
				c.answers("calm", shape, c.bodyBytes)
			}
			c.check(members, c.sendBody(shape))
			if shape.over {
				is.New(t).Equal(c.answered.Load(), int64(0))
			}
		})
	}
}

// check checks a process under a crowd of members.
func (c *crowded) check(members int, send func(n int, conn net.Conn)) {
	c.t.Helper()
	c.checkBeside(func() (leave func()) { return c.join(members, send) })
}

// checkBeside checks a process under a crowd: it lives within its memory, with descriptors to spare, and answers an
// ordinary request while the crowd stays, and one afterwards.
func (c *crowded) checkBeside(join func() (leave func())) {
	c.t.Helper()
	is := is.New(c.t)
	stop := c.watch()
	leave := join()
	c.ordinary("ordinary-beside")
	c.ordinary("ordinary-beside-again")
	leave()
	c.ordinary("ordinary-after")
	stop()
	c.t.Logf("at most %d MB of %d, %d descriptors, %d members answered, %d refused",
		c.mostBytes.Load()>>20, c.memoryMegabytes, c.mostDescriptors.Load(), c.answered.Load(), c.refused.Load())
	is.True(c.process.running())
	is.True(c.mostBytes.Load() <= int64(c.memoryMegabytes)<<20)
	if limit := c.process.descriptors; limit > 0 {
		is.True(c.mostDescriptors.Load() < int64(limit))
	}
	if wrong := c.wrong.Load(); wrong != nil {
		c.t.Error(*wrong)
	}
}
