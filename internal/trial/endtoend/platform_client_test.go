package endtoend

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callerRequest describes one request of a caller on the direct path.
type callerRequest struct {
	method string
	target string
	id     string
	key    string
	// tokens is the number of output tokens of a stream; zero for plain requests.
	tokens int
	// prompt is the number of prompt tokens of a stream; zero means smallPrompt.
	prompt int
	// deadlineMillis is the time for which the caller waits; zero means callerDeadlineMillis.
	deadlineMillis int
	body           string
	header         http.Header
}

// callerDeadlineMillis is the usual time for which a caller waits.
const callerDeadlineMillis = 8000

// smallPrompt is the usual size of a prompt, in tokens.
const smallPrompt = 400

// callerReply is the response that a caller received.
type callerReply struct {
	status int
	header http.Header
	body   string
	// err is set if the response is missing or truncated.
	err error
	// took is the time from the request to the end of the reply.
	took time.Duration
}

// events returns the identifiers of the events in the reply.
func (r callerReply) events() []string {
	var ids []string
	for line := range strings.Lines(r.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

// checkWhole checks that a stream has each event once, in order.
func (r callerReply) checkWhole(t *testing.T, events int) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.err)
	is.Equal(r.events(), eventNumbers(events)) // each event once, in order
}

// send sends a request to the entry host over a new connection.
func (s *platformSite) send(ctx context.Context, r callerRequest) callerReply {
	s.t.Helper()
	return s.sendTo(ctx, http.DefaultClient, s.settings.CallerAddress, r)
}

// sendTo sends a request to the entry host at the address. Clients other than
// http.DefaultClient keep their connections open.
func (s *platformSite) sendTo(ctx context.Context, client *http.Client, address string, r callerRequest) callerReply {
	s.t.Helper()
	request := s.request(ctx, r)
	request.URL.Host = address
	request.Close = client == http.DefaultClient
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return callerReply{err: err}
	}
	reply := readReply(response)
	reply.took = time.Since(begun)
	return reply
}

// sendOver sends a request over a connection that is already open.
func (s *platformSite) sendOver(conn net.Conn, r callerRequest) callerReply {
	s.t.Helper()
	request := s.request(context.Background(), r)
	if err := request.Write(conn); err != nil {
		return callerReply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return callerReply{err: err}
	}
	return readReply(response)
}

// request returns the HTTP request with the headers that callers send.
func (s *platformSite) request(ctx context.Context, r callerRequest) *http.Request {
	s.t.Helper()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.settings.CallerAddress+r.target, strings.NewReader(r.body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = platformHost
	request.Close = true
	for name, values := range r.header {
		request.Header[name] = values
	}
	request.Header.Set("Fulmarvalve-Request-Id", r.id)
	request.Header.Set("Fulmarvalve-Deadline-Ms", strconv.Itoa(cmp.Or(r.deadlineMillis, callerDeadlineMillis)))
	if r.key != "" {
		request.Header.Set("X-Api-Key", r.key)
	}
	if r.tokens > 0 {
		request.Header.Set("Fulmarvalve-Token-Usage", fmt.Sprintf("%d,%d", cmp.Or(r.prompt, smallPrompt), r.tokens))
	}
	return request
}

// readReply reads a response to its end.
func readReply(response *http.Response) callerReply {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerReply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// sendRaw sends the text unchanged and returns everything that is received until the
// entry host closes the connection or 1 s has passed.
func (s *platformSite) sendRaw(text string) string {
	s.t.Helper()
	conn := s.openWith(text)
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	response, _ := io.ReadAll(bufio.NewReader(conn))
	return string(response)
}

// readUntilEnd sends the text unchanged, calls begun, and returns all that is received until the
// connection ends, with the error that ended it if it was not closed in order.
func (s *platformSite) readUntilEnd(text string, begun func()) callerReply {
	s.t.Helper()
	conn := s.openWith(text)
	defer func() { _ = conn.Close() }()
	begun()
	_ = conn.SetReadDeadline(waitDeadline())
	body, err := io.ReadAll(conn)
	return callerReply{body: string(body), err: err}
}

// openWith opens a connection to the entry host and sends the text unchanged.
func (s *platformSite) openWith(text string) net.Conn {
	s.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", s.settings.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}
