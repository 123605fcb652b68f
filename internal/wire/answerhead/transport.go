package answerhead

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// sentWaitMillis is the time for which the end of an answer waits for that of its request, whose sending was ended.
const sentWaitMillis = 1000

// Strict returns a transport that reads the heads of answers strictly. It replaces the way in which the given
// transport opens connections. An answer that ends with its connection is broken off, and its body ends with
// io.ErrUnexpectedEOF, if the request was not sent whole.
func Strict(transport *http.Transport) http.RoundTripper {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
	return strict{transport}
}

type strict struct {
	transport *http.Transport
}

// RoundTrip sends a request and returns the answer.
func (s strict) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				current.Store(c)
				c.begin()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := current.Load(); c != nil {
				c.endSending(info.Err)
			}
		},
	})
	return s.transport.RoundTrip(request.WithContext(ctx))
}

// CloseIdleConnections closes the connections that are not in use.
func (s strict) CloseIdleConnections() {
	s.transport.CloseIdleConnections()
}

// conn is a connection whose heads of answers are checked before they are read. Only one goroutine reads it.
type conn struct {
	net.Conn

	// ready holds bytes that were checked and not read. Only the reader uses it.
	ready []byte
	// failed is the error of bytes that are no answer. Only the reader uses it.
	failed error

	// mu guards the fields below.
	mu sync.Mutex
	// inHead says that the next bytes are those of a head, and head holds those that have come.
	inHead bool
	head   []byte
	// sent is closed when the request was sent, or its sending has failed with sendErr; nil before the first one.
	sent    chan struct{}
	sendErr error
}

// Write writes bytes of a request.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		// A reset is reported once. The reader would take the end of the connection for an ordered one.
		c.endSending(err)
	}
	return n, err
}

// begin says that a request is sent next.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.head = true, nil
	c.sent, c.sendErr = make(chan struct{}), nil
}

// endSending says that the request was sent, or that its sending has failed.
func (c *conn) endSending(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		return
	}
	select {
	case <-c.sent:
	default:
		c.sendErr = err
		close(c.sent)
	}
}

// Read reads bytes of answers. Those of a head are returned once the head is complete.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if len(c.ready) > 0 {
			n := copy(p, c.ready)
			c.ready = c.ready[n:]
			return n, nil
		}
		if c.failed != nil {
			return 0, c.failed
		}
		n, err := c.Conn.Read(p)
		inHead, checkErr := c.receive(p[:n])
		switch {
		case checkErr != nil:
			c.failed = checkErr
		case n > 0 && inHead: // an error comes again at the next read
		case errors.Is(err, io.EOF):
			return n, c.endOfAnswer(inHead, err)
		default:
			return n, err
		}
	}
}

// receive takes bytes that were received. It reports whether they belong to a head.
func (c *conn) receive(received []byte) (inHead bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return false, nil
	}
	c.head = append(c.head, received...)
	for c.inHead {
		end, err := endOf(c.head)
		if err != nil {
			return true, err
		}
		if end == 0 {
			return true, nil
		}
		status, err := Check(c.head[:end])
		if err != nil {
			return true, err
		}
		c.ready = append(c.ready, c.head[:end]...)
		c.head = c.head[end:]
		c.inHead = status < http.StatusOK && status != http.StatusSwitchingProtocols
	}
	c.ready = append(c.ready, c.head...)
	c.head = nil
	return true, nil
}

// endOfAnswer returns the error of the end of the connection: within a head, or while the request was being sent, the
// connection did not end in order. It ends the sending.
func (c *conn) endOfAnswer(inHead bool, err error) error {
	c.mu.Lock()
	sent, begun := c.sent, len(c.head) > 0
	c.mu.Unlock()
	switch {
	case inHead && begun:
		return io.ErrUnexpectedEOF
	case inHead || sent == nil:
		return err // there is no answer
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	timer := time.NewTimer(sentWaitMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
		return io.ErrUnexpectedEOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendErr != nil {
		return errors.CombineErrors(io.ErrUnexpectedEOF, c.sendErr)
	}
	return err
}
