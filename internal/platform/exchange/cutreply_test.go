package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	okHead        = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	noContentHead = "HTTP/1.1 204 No Content\r\nServer: s\r\n"
	engineEvents  = `data: {"Kind":"Token","RequestID":"r","Text":"a"}` + "\n\n" +
		`data: {"Kind":"Token","RequestID":"r","Position":1,"Text":"b"}` + "\n\n" +
		`data: {"Kind":"Finished","RequestID":"r","Reason":"stop","Tokens":2}` + "\n\n"
)

// framings are the ways in which a reply shows its end. The end of an unframed one is that of its connection.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	},
	"chunked": func(head, body string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	},
	"unframed": func(head, body string) string { return head + "\r\n" + body },
}

// clients are calls with the whole reply to each.
var clients = map[string]struct {
	head, body string
	call       func(ctx context.Context, address string, client *http.Client) (any, error)
	// opaque says that nothing in the body shows its end.
	opaque bool
}{
	"engine stream": {okHead, engineEvents, readEvents, false},
	"engine order": {noContentHead, "", func(ctx context.Context, address string, client *http.Client) (any, error) {
		return "ordered", (&engine.Client{Address: address, HTTP: client}).Order(ctx, engine.Order{Kind: "k"})
	}, false},
	"engine state": {okHead, `{"Fence":3}`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&engine.Client{Address: address, HTTP: client}).State(ctx)
	}, false},
	"engine load": {okHead, `{"Running":3,"Waiting":2}`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&engine.Client{Address: address, HTTP: client}).Load(ctx)
	}, false},
	"cache events": {okHead, `[{"Sequence":1},{"Sequence":2}]`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&engine.Client{Address: address, HTTP: client}).CacheEvents(ctx, 0)
	}, false},
	"plain service": {okHead, "whole answer", func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&plainservice.Client{Address: address, HTTP: client}).Call(ctx, plainservice.Request{RequestID: "r", Method: http.MethodPost, Path: "/"})
	}, true},
	"plain service, head only": {okHead, "", func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&plainservice.Client{Address: address, HTTP: client}).Call(ctx, plainservice.Request{RequestID: "r", Method: http.MethodHead, Path: "/"})
	}, false},
	"host list": {okHead, `{"Hosts":[{"Name":"b1","PeerAddress":"10.0.0.1:1"},{"Name":"b2","PeerAddress":"10.0.0.2:1"}]}`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&hostlist.Client{Address: address, HTTP: client}).Hosts(ctx)
	}, false},
	"host list register": {noContentHead, "", func(ctx context.Context, address string, client *http.Client) (any, error) {
		return "registered", (&hostlist.Client{Address: address, HTTP: client}).Register(ctx, hostlist.Host{Name: "b1"})
	}, false},
	"log append": {okHead, `{"Offset":120}`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&journal.Client{Address: address, HTTP: client}).Append(ctx, "s", []byte("d"))
	}, false},
	"log read": {okHead, `{"Records":[{"Offset":1,"Data":"QQ=="}],"First":1,"Next":2}`, func(ctx context.Context, address string, client *http.Client) (any, error) {
		return (&journal.Client{Address: address, HTTP: client}).Read(ctx, "s", 1, 10)
	}, false},
	"weights": {noContentHead, "", func(ctx context.Context, address string, client *http.Client) (any, error) {
		return "loaded", (&weights.Client{Address: address, HTTP: client}).Load(ctx, "m", "v")
	}, false},
}

// readEvents reads the stream of a generation to its end.
func readEvents(ctx context.Context, address string, client *http.Client) (any, error) {
	stream, err := (&engine.Client{Address: address, HTTP: client}).Generate(ctx, engine.Request{ID: "r"})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var events []engine.Event
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
}

// TestCutReplyIsNotWhole guards against a reply that was broken off, in its head or in its body, and that
// a client takes for a whole one with less in it, or for one to a call that was not sent.
func TestCutReplyIsNotWhole(t *testing.T) {
	for name, tt := range clients {
		for framing, frame := range framings {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				text := frame(tt.head, tt.body)
				if tt.body == "" {
					text = tt.head + "\r\n"
				}
				checkCuts(t, text, tt.opaque && framing == "unframed", tt.call)
			})
		}
	}
}

// checkCuts checks a call with each cut of the reply to it. An opaque reply is cut in its head only.
func checkCuts(t *testing.T, text string, opaque bool, send func(context.Context, string, *http.Client) (any, error)) {
	t.Helper()
	const replyMillis = 10_000
	answers := &cutanswer.Server{}
	server := httptest.NewServer(answers)
	t.Cleanup(server.Close)
	client := &http.Client{Transport: transport.NewTransport()}
	call := func(a cutanswer.Answer) (string, error) {
		answers.Set(a)
		ctx, stop := context.WithDeadline(t.Context(), time.Now().Add(replyMillis*time.Millisecond))
		defer stop()
		got, err := send(ctx, server.Listener.Addr().String(), client)
		return fmt.Sprintf("%+v", got), err
	}
	want, err := call(cutanswer.Whole(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, broken := range cutanswer.Broken(text) {
		got, err := call(broken)
		if err == nil || isRefused(err) {
			t.Errorf("%q: got %s and error %v, want one that says that it may have run", broken.Text, got, err)
		}
	}
	below := len(text)
	if opaque {
		below = cutanswer.HeadBytes(text)
	}
	for _, cut := range cutanswer.Cuts(text, below) {
		got, err := call(cut)
		switch {
		case err == nil && (got != want || cut.Bytes < cutanswer.HeadBytes(text)):
			t.Errorf("%v: got %s", cut, got)
		case isRefused(err):
			t.Errorf("%v: a call that was sent counts as refused: %v", cut, err)
		}
	}
}

// isRefused reports whether an error says that the call was not run.
func isRefused(err error) bool {
	return errors.IsAny(err, engine.ErrRefused, plainservice.ErrRefused, hostlist.ErrRefused, journal.ErrRefused, journal.ErrThrottled)
}

// TestEarlyReplyWithoutLength guards against a part of a reply that counts as a whole one: the service answers a large
// call at once, without a length, and its connection ends before the call was sent.
func TestEarlyReplyWithoutLength(t *testing.T) {
	const part = "part of a reply"
	for name, tt := range map[string]struct {
		head  string
		early bool
		reset bool
		whole bool
	}{
		"reset":                       {okHead, true, true, false},
		"closed in order":             {okHead, true, false, false},
		"reset, with a length":        {okHead + fmt.Sprintf("Content-Length: %d\r\n", len(part)), true, true, true},
		"closed in order, call whole": {okHead, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				(&replica.RawAnswer{Text: tt.head + "\r\n" + part, Early: tt.early, Reset: tt.reset}).Serve(w, r)
			}))
			t.Cleanup(server.Close)
			client := &plainservice.Client{Address: server.Listener.Addr().String(), HTTP: &http.Client{Transport: transport.NewTransport()}}
			reply, err := client.Call(t.Context(), plainservice.Request{RequestID: "r", Method: http.MethodPost, Path: "/", Body: make([]byte, plainservice.MaxBodyBytes)})
			is.Equal(err == nil, tt.whole)
			is.True(!isRefused(err))
			is.Equal(string(reply.Body) == part, tt.whole)
		})
	}
}
