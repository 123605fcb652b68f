package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// dialMillis bounds the set-up of a connection to a backend server.
	dialMillis = 300
	// serverUserTimeoutMillis is how long bytes sent to a backend server may
	// stay unacknowledged.
	serverUserTimeoutMillis = 3000
	// responseBufferBytes is the buffer of one answer.
	responseBufferBytes = 4096
	// smallRequestBytes is the size up to which a request is written before
	// its answer is read.
	smallRequestBytes = 16 << 10
	// maxSkippedAnswers bounds the answers to other requests that are skipped.
	maxSkippedAnswers = 2
)

// ErrNotSent marks a failure before anything was sent, so that the request
// certainly did not run.
var ErrNotSent = errors.New("backend server was not reached")

// ErrOtherRequest says that a backend server answered other requests only.
var ErrOtherRequest = errors.New("answer belongs to another request")

// Outbound is a request to a backend server.
type Outbound struct {
	// ID is the caller's identity of the request.
	ID      string
	Address string
	Method  string
	// Target is the path with its query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Call is an open call to a backend server.
type Call struct {
	// Answer holds the head; its body is read by the caller of Open.
	Answer *http.Response

	conn  net.Conn
	stop  func() bool
	write errgroup.Group
}

// Close ends the call. The backend server sees its connection close.
func (c *Call) Close() {
	c.stop()
	_ = c.conn.Close()
	// The body's writer ends with its connection; its error says no more than
	// that of the answer.
	_ = c.write.Wait()
}

var serverDialer = &net.Dialer{Timeout: dialMillis * time.Millisecond, KeepAlive: -1}

// Open sends a request over a connection of its own and reads the head of the
// answer. An error that is marked with ErrNotSent came before anything was
// sent; after any other one the request may have run.
func Open(ctx context.Context, out Outbound) (*Call, error) {
	conn, err := serverDialer.DialContext(ctx, "tcp", out.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", out.Address), ErrNotSent)
	}
	if err := transport.SetAckTimeout(conn, serverUserTimeoutMillis); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "bound %s", out.Address), ErrNotSent)
	}
	call := &Call{conn: conn}
	call.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := call.send(out); err != nil {
		call.Close()
		return nil, errors.Wrapf(err, "send to %s", out.Address)
	}
	call.Answer, err = readAnswer(conn, out) //nolint:bodyclose // it ends with the call's connection
	if err != nil {
		call.Close()
		return nil, errors.Wrapf(err, "read answer of %s", out.Address)
	}
	return call, nil
}

// send writes the request. A large body is written beside the reading of the
// answer, as the backend server may answer before it has read it.
func (c *Call) send(out Outbound) error {
	head := appendHead(nil, out)
	if len(out.Body) <= smallRequestBytes {
		_, err := c.conn.Write(append(head, out.Body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	c.write.Go(func() error {
		_, err := c.conn.Write(out.Body)
		return err
	})
	return nil
}

func appendHead(head []byte, out Outbound) []byte {
	head = append(head, out.Method+" "+out.Target+" HTTP/1.1\r\nHost: "+out.Host+"\r\n"...)
	for name, values := range out.Header {
		for _, value := range values {
			head = append(head, name+": "+value+"\r\n"...)
		}
	}
	if len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut {
		head = append(head, "Content-Length: "+strconv.Itoa(len(out.Body))+"\r\n"...)
	}
	return append(head, "\r\n"...)
}

// readAnswer reads the head of the answer to out. Answers to other requests
// are skipped.
func readAnswer(conn net.Conn, out Outbound) (*http.Response, error) {
	reader := bufio.NewReaderSize(conn, responseBufferBytes)
	request := &http.Request{Method: out.Method}
	for foreign := 0; foreign <= maxSkippedAnswers; {
		answer, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if platform.AnswersRequest(answer.Header, out.ID) {
			return answer, nil
		}
		foreign++
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
	return nil, ErrOtherRequest
}
