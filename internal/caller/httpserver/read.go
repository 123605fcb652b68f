package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// lingerMillis and lingerBytes limit how long and how much is still read
	// from a caller whose request was refused before it was read completely.
	lingerMillis = 1000
	lingerBytes  = 16 << 20
	// discardBytesPerSecond limits what is read of all such requests together.
	discardBytesPerSecond = 32 << 20
	// wideBytes is what a connection may receive of a large body before it is read, and narrowBytes what it may
	// receive otherwise.
	wideBytes   = intake.LargeBytes
	narrowBytes = transport.NarrowBytes
)

// errHeadGaveWay marks the error of a request whose head was not read whole and has given way to others.
var errHeadGaveWay = errors.New("request head gave way to others")

// headEnd terminates a request head.
var headEnd = []byte("\r\n\r\n")

// readHead reads and checks the head of the next request within the time and
// size limits.
func (c *connection) readHead(ctx context.Context, limits routetable.Limits) (*http.Request, error) {
	deadline := time.Now().Add(time.Duration(limits.HeaderMillis) * time.Millisecond)
	if err := c.server.readUntil(c, deadline); err != nil {
		return nil, err
	}
	head, err := c.peekHead(ctx, limits.MaxHeaderBytes)
	if gaveWay := c.source.holding.Err(); gaveWay != nil {
		return nil, errors.Mark(gaveWay, errHeadGaveWay)
	}
	if err != nil {
		return nil, err
	}
	c.headBytes = int64(len(head))
	if err := checkHead(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse request head"), ErrMalformed)
	}
	if request.ProtoMajor != 1 {
		return nil, errors.Wrapf(ErrMalformed, "unsupported protocol version %s", request.Proto)
	}
	return request, nil
}

// peekHead returns the head of the next request without consuming it.
func (c *connection) peekHead(ctx context.Context, maxBytes int) ([]byte, error) {
	for {
		seen, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.Index(seen, headEnd); end >= 0 {
			if end > maxBytes {
				return nil, errors.Wrapf(ErrHeadTooLarge, "%d bytes, limit %d", end, maxBytes)
			}
			return seen[:end+len(headEnd)], nil
		}
		if len(seen) >= maxBytes {
			return nil, errors.Wrapf(ErrHeadTooLarge, "no end within %d bytes", maxBytes)
		}
		if bytes.Contains(seen, []byte("\n\n")) {
			return nil, errors.Wrap(ErrMalformed, "request head with a bare LF")
		}
		if len(seen) == c.reader.Size() {
			if err := c.source.holding.Head(ctx, largeHeadBytes); err != nil {
				return nil, err
			}
			if err := c.enlargeReader(); err != nil {
				return nil, err
			}
		}
		if _, err := c.reader.Peek(len(seen) + 1); err != nil {
			return nil, err
		}
	}
}

// readBody reads the complete body of a request within the time and size limits, and takes the memory for its
// handling.
func (c *connection) readBody(ctx context.Context, request *http.Request, limits routetable.Limits) ([]byte, error) {
	return c.source.holding.ReadRequest(ctx, request.Body, intake.BodyLimits{
		MostBytes: limits.MaxBodyBytes,
		Length:    request.ContentLength,
		HeadBytes: c.headBytes,
		Begin:     func() error { return c.beginBody(request) },
		Large:     c.widen,
	})
}

// beginBody sets the time limit of a body and lets the caller send it.
func (c *connection) beginBody(request *http.Request) error {
	if err := c.server.readUntil(c, time.Now().Add(bodyTimeoutMillis*time.Millisecond)); err != nil {
		return err
	}
	return c.sendContinue(request)
}

// widen lets the connection receive more before it is read, for the sake of a large body.
func (c *connection) widen() {
	if !c.widened {
		c.widened = true
		transport.SetReceiveBuffer(c.conn, wideBytes)
	}
}

// narrow takes that back.
func (c *connection) narrow() {
	if c.widened {
		c.widened = false
		transport.SetReceiveBuffer(c.conn, narrowBytes)
	}
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends
// the body.
func (c *connection) sendContinue(request *http.Request) error {
	if request.Header.Get("Expect") == "" {
		return nil
	}
	// The deadline of the last response may be over.
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeoutMillis * time.Millisecond)); err != nil {
		return err
	}
	if _, err := c.takeWriter().WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// headStatus returns the response status for an error of reading a request head,
// or zero when no response can be sent.
func headStatus(err error) int {
	switch {
	case errors.Is(err, errHeadGaveWay):
		return 0
	case errors.Is(err, intake.ErrFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrMalformed):
		return http.StatusBadRequest
	case isTimeout(err):
		return http.StatusRequestTimeout
	default:
		return 0
	}
}

// bodyStatus returns the response status for an error of reading a request body,
// or zero when no response can be sent.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.IsAny(err, intake.ErrFull, intake.ErrGaveWay):
		return http.StatusServiceUnavailable
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	default:
		return http.StatusBadRequest
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// refuse responds to a request that was not read or found no room, so that it never runs. The request is nil if its
// head was not read. The connection is closed afterwards.
func (c *connection) refuse(status int, cause error, request *http.Request) {
	c.source.holding.Linger()
	c.dropReader()
	if status == 0 {
		return
	}
	if status == http.StatusRequestTimeout && c.server.reached(aborting) {
		status = http.StatusServiceUnavailable
	}
	if omitted, ok := c.server.refusals.Allow(); ok {
		c.server.Log.Info("failed to read request", "Status", status, "Error", cause, "Omitted", omitted)
	}
	if request == nil {
		request = &http.Request{Method: http.MethodGet}
	}
	x := &Exchange{connection: c, closeAfter: true, Request: request}
	if status == http.StatusServiceUnavailable && c.server.OnFull != nil {
		c.server.OnFull(x)
	} else {
		x.Respond(status, make(http.Header), nil)
	}
	if x.finish() {
		c.releaseWriter()
		c.linger()
	}
}

// linger reads and discards what the caller still sends. Closing the connection
// with unread data would reset it before the caller has read the response.
func (c *connection) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	until := time.Now().Add(lingerMillis * time.Millisecond)
	if tcp.SetReadDeadline(until) != nil {
		return
	}
	buffer := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(buffer)
	for left := lingerBytes; left > 0; {
		n, err := tcp.Read(*buffer)
		left -= n
		now := time.Now()
		pause := c.server.discards.ReserveN(now, n).DelayFrom(now)
		if err != nil || now.Add(pause).After(until) {
			return
		}
		time.Sleep(pause)
	}
}

// discardBuffers holds the buffers for what is discarded.
var discardBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, readBufferBytes)
	return &buffer
}}
