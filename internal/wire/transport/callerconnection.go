package transport

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
)

const (
	// newConnectionMillis is the time for which a new connection may send its first
	// request although the server stops.
	newConnectionMillis = 1000
	// CallerConnectionBytes is the memory of an open connection of a caller without a request. The server of net/http
	// keeps two buffers for each.
	CallerConnectionBytes = 20 << 10
	// headWeight is the memory that a byte of a head takes while it is read and decoded.
	headWeight = 2
	// finishPollMillis is the period at which a server that stops looks for connections
	// that wait for a request.
	finishPollMillis = 5
)

// callerListener is the listener of a server, and holds its open connections. The
// server of net/http drops a request that it reads after its own shutdown has begun,
// so callerListener ends connections that wait for a request without it.
type callerListener struct {
	StoppingListener

	// requests ends when the server does.
	requests context.Context //nolint:containedctx // its lifetime is that of the server
	// intake bounds what all callers make the process hold; nil for no bound.
	intake *intake.Budget

	// mu guards the fields below. It may be held when that of a connection is locked, never
	// the other way round.
	mu sync.Mutex
	// open holds the connections that the server of net/http has begun to serve and not closed.
	open map[*callerConnection]struct{}
	// accepting says that Accept may still return a connection.
	accepting bool
}

func newCallerListener(requests context.Context, listener net.Listener, budget *intake.Budget) *callerListener {
	return &callerListener{
		requests:         requests,
		intake:           budget,
		StoppingListener: StoppingListener{Listener: listener},
		open:             make(map[*callerConnection]struct{}),
		accepting:        true,
	}
}

// Accept waits for the next connection, as net/http expects it. Connections without room are closed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.StoppingListener.Accept()
		if err != nil {
			return nil, l.endAccept(err)
		}
		c := &callerConnection{Conn: conn, listener: l, acceptedAt: time.Now()}
		holding, ok := l.intake.Open(l.requests, c)
		if ok {
			c.holding = holding
			return c, nil
		}
		_ = conn.Close()
	}
}

// endAccept records that the listener is closed if err says so. It returns err as
// net/http expects it.
func (l *callerListener) endAccept(err error) error {
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = false
	return http.ErrServerClosed
}

// observe records a change of a connection's state.
func (l *callerListener) observe(conn net.Conn, state http.ConnState) {
	own, ok := conn.(*callerConnection)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open[own] = struct{}{}
		own.beginWait()
	case http.StateIdle:
		own.holding.End()
		own.beginWait()
	case http.StateClosed, http.StateHijacked:
		own.holding.Close()
		delete(l.open, own)
	default:
	}
}

// finish stops accepting connections and ends those that wait for a request, until none
// is left or the deadline passes. It makes the close of those that are left a reset.
func (l *callerListener) finish(deadline time.Time) {
	l.StopAccepting()
	ticker := time.NewTicker(finishPollMillis * time.Millisecond)
	defer ticker.Stop()
	for !l.endWaits() && time.Now().Before(deadline) {
		<-ticker.C
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.resetOnClose()
	}
}

// endWaits ends the wait of each connection for its next request, and reports whether no
// connection is left.
func (l *callerListener) endWaits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.endWait()
	}
	return !l.accepting && len(l.open) == 0
}

// callerConnection is the connection of one caller.
type callerConnection struct {
	net.Conn
	listener   *callerListener
	acceptedAt time.Time
	// holding is what the connection makes the process hold.
	holding *intake.Holding
	// headBytes is the size of what was read of the current head, and inHead says that it is not complete.
	headBytes atomic.Int64
	inHead    atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// waiting says that no byte of the next request was read.
	waiting bool
	// used says that a request has begun on the connection.
	used bool
	// closing says that the wait for the next request was ended; only while waiting is set.
	closing bool
	// gaveWay says that the connection is closed as others need its memory.
	gaveWay bool
}

// GiveWay ends the reads of the connection, as others need its memory.
func (c *callerConnection) GiveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaveWay = true
	_ = EndRead(c.Conn)
}

// HasUnread reports whether bytes have arrived that were not read.
func (c *callerConnection) HasUnread() bool {
	return HasUnread(c.Conn)
}

// endHead says that a head was read.
func (c *callerConnection) endHead() {
	c.inHead.Store(false)
}

// hold takes the memory for bytes of a head that were read.
func (c *callerConnection) hold(bytes int) error {
	c.holding.Receive(bytes)
	if !c.inHead.Load() {
		return nil
	}
	held := c.headBytes.Add(int64(bytes)) * headWeight
	if held <= intake.SmallBytes {
		return nil
	}
	return c.holding.Head(c.listener.requests, held)
}

// Read reads from the connection. When the wait for a request was ended, one that has
// arrived is still read.
func (c *callerConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() && HasUnread(c.Conn) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(headerTimeoutMillis * time.Millisecond))
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.beginRequest()
	if full := c.hold(n); full != nil {
		return 0, full
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the wait for the next request was ended: net/http
// sets the time limit of a wait after it has begun.
func (c *callerConnection) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.gaveWay {
		return EndRead(c.Conn)
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *callerConnection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *callerConnection) beginWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
}

// beginRequest records that bytes of a request were read. If the wait for it was being ended, the
// rest of its head may be read.
func (c *callerConnection) beginRequest() {
	if !c.endWaiting() {
		return
	}
	// Not under the mutex, which GiveWay needs.
	c.headBytes.Store(0)
	c.inHead.Store(true)
	c.holding.Begin()
}

// endWaiting records that a request has begun, and reports whether it was waited for.
func (c *callerConnection) endWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		_ = c.Conn.SetReadDeadline(time.Now().Add(headerTimeoutMillis * time.Millisecond))
	}
	waited := c.waiting
	c.waiting, c.closing, c.used = false, false, true
	return waited
}

// endWait ends the wait for the next request, unless the connection is new.
func (c *callerConnection) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.used && time.Since(c.acceptedAt) < newConnectionMillis*time.Millisecond
	if !c.waiting || c.closing || isNew {
		return
	}
	c.closing = true
	_ = EndRead(c.Conn)
}

// resetOnClose makes the close of the connection a reset.
func (c *callerConnection) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
