package relay

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerhead"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// dialMillis bounds the time to connect to a backend server.
	dialMillis = 300
	// serverUserTimeoutMillis is the time for which bytes sent to a backend server
	// may stay unacknowledged (TCP_USER_TIMEOUT).
	serverUserTimeoutMillis = 3000
	// smallRequestBytes is the body size up to which a request is written
	// completely before its answer is read.
	smallRequestBytes = 16 << 10
	// maxSkippedAnswers bounds the answers to other requests that are skipped, and
	// maxSkippedBytes the size of the body of each.
	maxSkippedAnswers = 2
	maxSkippedBytes   = 1 << 20
	// maxHeadBytes bounds the heads before the body of an answer, including those of
	// informational answers.
	maxHeadBytes = 64 << 10
	// statementMillis bounds the wait for the end of an answer without a length that states that its request was
	// not run.
	statementMillis = 300
	// smallReadBytes is the size below which a read counts as one of few bytes, and smallReadsPerSecond
	// the limit of such reads of one answer. A sound stream has far fewer events.
	smallReadBytes      = 512
	smallReadsPerSecond = 250
)

// ErrNotSent marks a failure before anything was sent, so that the request
// certainly did not run.
var ErrNotSent = errors.New("request was not sent to the backend server")

// ErrOtherRequest says that a backend server sent only answers to other requests.
var ErrOtherRequest = errors.New("answers belong to other requests")

// ErrTooLarge says that a backend server sent more than any answer may hold. Its bytes
// may never end.
var ErrTooLarge = errors.New("answer is too large")

// Outbound is a request to a backend server.
type Outbound struct {
	// ID is the request ID that the caller chose.
	ID string
	// Address is host and port of the backend server.
	Address string
	Method  string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Route is the name of the route, by which the usual sizes of answers are known.
	Route string
	// Memory bounds what all servers make the process hold; nil for no bound.
	Memory *heldbytes.Budget
}

// Call is a request that was sent to a backend server and whose answer is read.
type Call struct {
	// Answer holds the status and the header; the user of the call reads its body.
	Answer *http.Response

	conn net.Conn
	// held is what the answer makes the process hold.
	held *heldbytes.Holding
	// headBytes is the memory of the answer's head.
	headBytes int64
	// smallReads limits the reads of few bytes.
	smallReads *rate.Limiter
	// run is the run of the request that the answer comes from.
	run Run
	// onSilence is called when the read deadline has passed. If it returns true, it has set another
	// one and the call is read on. Nil ends the read.
	onSilence func() bool
	// closed is set once the connection was closed by Close.
	closed atomic.Bool
	// stop cancels the hook that closes the connection when the context ends.
	stop func() bool
	// write runs the writing of a large body, which is concurrent with the reading of the answer.
	write      errgroup.Group
	concurrent bool
}

// endsWithConnection reports whether nothing in the answer shows its end.
func (c *Call) endsWithConnection() bool {
	return answerend.EndsWithConnection(c.Answer)
}

// wasSent ends the sending of the request and reports whether it was sent whole. A reset is reported once, to the
// sender or to the reader of the answer, who then sees an ordered end.
func (c *Call) wasSent() bool {
	if !c.concurrent {
		return true
	}
	_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
	return c.write.Wait() == nil
}

// Read reads bytes of the answer from the connection. A body can't be read on after an error, so that
// the user of the call decides on a silence before there is one.
func (c *Call) Read(p []byte) (int, error) {
	for {
		n, err := c.conn.Read(p)
		c.paceRead(n)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.onSilence == nil || !c.onSilence() {
			return n, err
		}
	}
}

// newSmallReads returns the limit of the reads of few bytes of one answer.
func newSmallReads() *rate.Limiter {
	return rate.NewLimiter(smallReadsPerSecond, smallReadsPerSecond)
}

// paceRead pauses after a read of few bytes if there were many of them, so that the bytes of a server that
// sends them one by one come together.
func (c *Call) paceRead(n int) {
	if n > 0 && n < smallReadBytes && c.smallReads != nil {
		time.Sleep(c.smallReads.Reserve().Delay())
	}
}

// Close ends the call and closes its connection.
func (c *Call) Close() {
	c.closed.Store(true)
	c.stop()
	_ = c.conn.Close()
	// The write of the body ends with the connection. Its error is dropped, as the
	// error of the answer says as much.
	_ = c.write.Wait()
	c.held.Close()
}

var serverDialer = &net.Dialer{Timeout: dialMillis * time.Millisecond, KeepAlive: -1}

// Open sends a request over a new connection and reads the status and the header
// of the answer. An error that is marked with ErrNotSent came before anything was
// sent; after any other error the request may have run.
func Open(ctx context.Context, out Outbound) (*Call, error) {
	conn, err := serverDialer.DialContext(ctx, "tcp", out.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", out.Address), ErrNotSent)
	}
	if err := transport.SetAckTimeout(conn, serverUserTimeoutMillis); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "set acknowledgement timeout of connection to %s", out.Address), ErrNotSent)
	}
	call := &Call{conn: conn, smallReads: newSmallReads()}
	call.held = out.Memory.Open(out.Route, func() { _ = conn.Close() })
	call.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := call.send(out); err != nil {
		call.Close()
		return nil, errors.Wrapf(err, "send request to %s", out.Address)
	}
	call.Answer, err = readAnswer(ctx, call, out) //nolint:bodyclose // Call.Close closes the connection, which ends the body
	if err == nil {
		err = call.checkStatement()
	}
	if err != nil {
		call.Close()
		return nil, errors.Wrapf(err, "read answer from %s", out.Address)
	}
	return call, nil
}

// checkStatement returns an error if an answer states that the request was not run, and is no whole answer: it has no
// end of its own, and its connection did not end in order. The request may then have run.
func (c *Call) checkStatement() error {
	if !platform.NotRun(c.Answer.StatusCode, c.Answer.Header) || !c.endsWithConnection() {
		return nil
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(statementMillis * time.Millisecond)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(c.Answer.Body, maxSkippedBytes)); err != nil {
		return errors.Mark(err, errBrokenOff)
	}
	if !c.wasSent() {
		return errors.Mark(errBrokenOff, errNotSentWhole)
	}
	return nil
}

// send writes the request. A large body is written concurrently with the reading
// of the answer, as the backend server may answer before it has read the body.
func (c *Call) send(out Outbound) error {
	head := appendHead(nil, out)
	if len(out.Body) <= smallRequestBytes {
		_, err := c.conn.Write(append(head, out.Body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	c.concurrent = true
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

// readAnswer reads the status and the header of the answer to out. It skips
// informational answers and up to maxSkippedAnswers answers to other requests.
func readAnswer(ctx context.Context, call *Call, out Outbound) (*http.Response, error) {
	limited := &io.LimitedReader{R: call, N: maxHeadBytes}
	heads := &headReader{ctx: ctx, source: limited, call: call}
	heads.begin()
	reader := answerhead.NewReader(heads)
	request := &http.Request{Method: out.Method}
	for skipped := 0; skipped <= maxSkippedAnswers; {
		answer, err := reader.Read(request)
		if err != nil {
			return nil, markTooLarge(err, limited)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if platform.AnswersRequest(answer.Header, out.ID) {
			heads.end()
			limited.N = math.MaxInt64
			return answer, nil
		}
		skipped++
		heads.end()
		limited.N = maxSkippedBytes
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, errors.Wrap(markTooLarge(err, limited), "read answer to another request")
		}
		limited.N = maxHeadBytes
		heads.begin()
	}
	return nil, ErrOtherRequest
}

// markTooLarge marks an error with ErrTooLarge if the limit has caused it.
func markTooLarge(err error, limited *io.LimitedReader) error {
	if limited.N > 0 && !errors.Is(err, answerhead.ErrTooLarge) {
		return err
	}
	return errors.Mark(errors.Wrap(err, ErrTooLarge.Error()), ErrTooLarge)
}
