package httpapi

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/ratelimit"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// fakeRunner runs generations with a function of the test.
type fakeRunner struct {
	generate func(context.Context, dispatch.Request, dispatch.Sink) *resultcode.Result
}

func (r fakeRunner) Generate(ctx context.Context, q dispatch.Request, s dispatch.Sink) *resultcode.Result {
	return r.generate(ctx, q, s)
}

func (fakeRunner) Resume(context.Context, resumetoken.Token, uint64, dispatch.Sink) *resultcode.Result {
	return resultcode.New(resultcode.NotHeld, "not held")
}

func (fakeRunner) Call(context.Context, dispatch.Call) (dispatch.Reply, *resultcode.Result) {
	return dispatch.Reply{}, resultcode.New(resultcode.NoBackend, "none")
}

// noObserver discards all metrics.
type noObserver struct{}

func (noObserver) Began(string, string, time.Time) Span { return noObserver{} }
func (noObserver) Tokens(int, time.Time)                {}
func (noObserver) Ended(*resultcode.Result, time.Time)  {}

// serve runs a server of the API until the test ends.
func serve(t *testing.T, r fakeRunner) *httptest.Server {
	t.Helper()
	is := is.New(t)
	document, err := operatorfile.Parse([]byte(`{
		"Services": [{"Name": "coaching", "Kind": "Generation", "Model": "coach"}],
		"Models": [{"Name": "coach", "Version": "1", "Replicas": 1}],
		"Classes": [
			{"Name": "check", "Service": "coaching", "Repeatable": true, "MaxTokens": 50},
			{"Name": "buffered", "Service": "coaching", "Repeatable": true, "Whole": true, "MaxTokens": 50}
		],
		"Accounts": [{"Name": "club", "Share": 1, "RequestsPerSecond": 100, "Burst": 100}]
	}`))
	is.NoErr(err)
	api := &API{
		Runner:           r,
		RateLimiter:      &ratelimit.Limiter{MaxOpen: 10},
		Configuration:    func() *operatorfile.Document { return &document },
		Observer:         noObserver{},
		KeyWindowSeconds: 60,
		MaxBodyBytes:     1024,
		HeartbeatMillis:  10,
		Draining:         func() bool { return false },
	}
	server := httptest.NewServer(api.Routes())
	t.Cleanup(server.Close)
	return server
}

func post(t *testing.T, server *httptest.Server, class, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set(HeaderAccount, "club")
	request.Header.Set(HeaderClass, class)
	response, err := server.Client().Do(request)
	is.NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestBufferedStreamHidesLostGeneration checks that, in a class with Whole set, a
// stream carries only the tokens of the last generation.
func TestBufferedStreamHidesLostGeneration(t *testing.T) {
	is := is.New(t)
	server := serve(t, fakeRunner{func(_ context.Context, q dispatch.Request, s dispatch.Sink) *resultcode.Result {
		is.True(q.Whole)
		s.Begin(resumetoken.Token{RequestID: q.ID, Account: "club", Backend: "a", PeerAddress: "a:1", Incarnation: 1, Sequence: 1})
		is.NoErr(s.Tokens(0, []string{"lost"}))
		s.Begin(resumetoken.Token{RequestID: q.ID, Account: "club", Backend: "b", PeerAddress: "b:1", Incarnation: 2, Sequence: 1})
		is.NoErr(s.Tokens(0, []string{"kept ", "whole"}))
		return resultcode.New(resultcode.OK, "")
	}})
	response := post(t, server, "buffered", `{"prompt": "x", "stream": true}`)
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		text.WriteString(scanner.Text())
	}
	is.True(!strings.Contains(text.String(), "lost"))
	is.Equal(strings.Count(text.String(), "kept whole"), 1)
	is.True(strings.Contains(text.String(), `"Result":"OK"`))
}

// TestIdleStreamSendsKeepAliveComments checks that the entry host sends comments
// on a stream while it has no connection to the owner.
func TestIdleStreamSendsKeepAliveComments(t *testing.T) {
	is := is.New(t)
	commentsReceived := make(chan struct{})
	server := serve(t, fakeRunner{func(_ context.Context, q dispatch.Request, s dispatch.Sink) *resultcode.Result {
		s.Begin(resumetoken.Token{RequestID: q.ID, Account: "club", Backend: "a", PeerAddress: "a:1", Incarnation: 1, Sequence: 1})
		<-commentsReceived
		return resultcode.New(resultcode.GenerationLost, "lost")
	}})
	response := post(t, server, "check", `{"prompt": "x", "stream": true}`)
	scanner := bufio.NewScanner(response.Body)
	comments := 0
	for scanner.Scan() {
		if scanner.Text() == ": alive" {
			comments++
		}
		if comments == 2 {
			comments++
			close(commentsReceived)
		}
	}
	is.True(comments >= 2)
}

// TestRefusalCarriesCodeAndRetryAfter checks that a refusal carries its result
// code and the Retry-After header.
func TestRefusalCarriesCodeAndRetryAfter(t *testing.T) {
	is := is.New(t)
	server := serve(t, fakeRunner{func(context.Context, dispatch.Request, dispatch.Sink) *resultcode.Result {
		return resultcode.New(resultcode.QueueFull, "full").WithRetryAt(time.Now().Add(1500 * time.Millisecond))
	}})
	response := post(t, server, "check", `{"prompt": "x"}`)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(HeaderResult), "204")
	is.Equal(response.Header.Get("Retry-After"), "2")
}

// TestTruncatedBodyIsRefused checks that a request with an incomplete body is
// refused and does not run.
func TestTruncatedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	ran := false
	server := serve(t, fakeRunner{func(context.Context, dispatch.Request, dispatch.Sink) *resultcode.Result {
		ran = true
		return resultcode.New(resultcode.OK, "")
	}})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"prompt\":"))
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.True(!ran)
}
