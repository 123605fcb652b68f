package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/routetable"
)

const (
	// lingerMillis and lingerBytes limit how long and how much is still read
	// from a caller whose request was refused before it was read completely.
	lingerMillis = 1000
	lingerBytes  = 16 << 20
)

// errBodyTooLarge means that a request body exceeds the size limit.
var errBodyTooLarge = errors.New("request body is too large")

// headEnd terminates a request head.
var headEnd = []byte("\r\n\r\n")

// readHead reads and checks the head of the next request within the time and
// size limits.
func (c *connection) readHead(limits routetable.Limits) (*http.Request, error) {
	deadline := time.Now().Add(time.Duration(limits.HeaderMillis) * time.Millisecond)
	if err := c.server.readUntil(c, deadline); err != nil {
		return nil, err
	}
	head, err := c.peekHead(limits.MaxHeaderBytes)
	if err != nil {
		return nil, err
	}
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
func (c *connection) peekHead(maxBytes int) ([]byte, error) {
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
		if _, err := c.reader.Peek(len(seen) + 1); err != nil {
			return nil, err
		}
	}
}

// readBody reads the complete body of a request within the time and size limits.
func (c *connection) readBody(request *http.Request, limits routetable.Limits) ([]byte, error) {
	if request.ContentLength > limits.MaxBodyBytes {
		return nil, errors.Wrapf(errBodyTooLarge, "%d bytes, limit %d", request.ContentLength, limits.MaxBodyBytes)
	}
	if request.Body == nil || request.ContentLength == 0 {
		return nil, nil
	}
	if err := c.server.readUntil(c, time.Now().Add(bodyTimeoutMillis*time.Millisecond)); err != nil {
		return nil, err
	}
	if err := c.sendContinue(request); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limits.MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if int64(len(body)) > limits.MaxBodyBytes {
		return nil, errors.Wrapf(errBodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	return body, nil
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
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// headStatus returns the response status for an error of reading a request head,
// or zero when no response can be sent.
func headStatus(err error) int {
	switch {
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
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
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

// refuse responds to a request that could not be read. The connection is closed
// afterwards.
func (c *connection) refuse(status int, cause error) {
	if status == 0 {
		return
	}
	if status == http.StatusRequestTimeout && c.server.reached(aborting) {
		status = http.StatusServiceUnavailable
	}
	c.server.Log.Info("failed to read request", "Status", status, "Error", cause)
	x := &Exchange{connection: c, closeAfter: true, Request: &http.Request{Method: http.MethodGet}}
	x.Respond(status, make(http.Header), nil)
	if x.finish() {
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
	if tcp.SetReadDeadline(time.Now().Add(lingerMillis*time.Millisecond)) != nil {
		return
	}
	// The error does not matter, since the connection is closed next.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.reader, lingerBytes))
}
