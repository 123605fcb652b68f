package endtoend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// callerRequest is a request of a caller.
type callerRequest struct {
	method string
	target string
	id     string
	key    string
	// tokens is the output of a stream.
	tokens int
	body   string
	header http.Header
}

// callerReply is what a caller received.
type callerReply struct {
	status int
	header http.Header
	body   string
	// err tells that the answer is not whole.
	err error
}

// events returns the numbers of the events in a reply.
func (r callerReply) events() []string {
	var ids []string
	for line := range strings.Lines(r.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

// send sends a request to the entry host over a connection of its own.
func (s *platformSite) send(ctx context.Context, a callerRequest) callerReply {
	s.t.Helper()
	return s.sendTo(ctx, http.DefaultClient, s.settings.CallerAddress, a)
}

// sendTo sends a request to an entry host. The client of a soak keeps its
// connections.
func (s *platformSite) sendTo(ctx context.Context, client *http.Client, address string, a callerRequest) callerReply {
	s.t.Helper()
	request := s.request(ctx, a)
	request.URL.Host = address
	request.Close = client == http.DefaultClient
	answer, err := client.Do(request)
	if err != nil {
		return callerReply{err: err}
	}
	return readReply(answer)
}

// sendOver sends a request over a connection that is there already.
func (s *platformSite) sendOver(conn net.Conn, a callerRequest) callerReply {
	s.t.Helper()
	request := s.request(context.Background(), a)
	if err := request.Write(conn); err != nil {
		return callerReply{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return callerReply{err: err}
	}
	return readReply(answer)
}

// request returns the request as a caller sends it.
func (s *platformSite) request(ctx context.Context, a callerRequest) *http.Request {
	s.t.Helper()
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+s.settings.CallerAddress+a.target, strings.NewReader(a.body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = platformHost
	request.Close = true
	for name, values := range a.header {
		request.Header[name] = values
	}
	request.Header.Set("Fulmarvalve-Request-Id", a.id)
	request.Header.Set("Fulmarvalve-Deadline-Ms", "8000")
	if a.key != "" {
		request.Header.Set("X-Api-Key", a.key)
	}
	if a.tokens > 0 {
		request.Header.Set("Fulmarvalve-Token-Usage", fmt.Sprintf("400,%d", a.tokens))
	}
	return request
}

// readReply reads an answer to its end.
func readReply(answer *http.Response) callerReply {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return callerReply{status: answer.StatusCode, header: answer.Header, body: string(body), err: err}
}

// sendRaw sends bytes as they are and returns all that comes back until the
// entry host closes the connection, or a second passes.
func (s *platformSite) sendRaw(text string) string {
	s.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", s.settings.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer, _ := io.ReadAll(bufio.NewReader(conn))
	return string(answer)
}
