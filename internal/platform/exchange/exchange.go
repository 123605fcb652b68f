// Package exchange holds what the clients of the platform share: one bounded
// HTTP exchange, and whether a failed one can have reached the other side.
package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes bounds the body of an answer, unless its call says otherwise.
const MaxBodyBytes = 16 << 20

// ErrTooLarge says that an answer's body is longer than its bound.
var ErrTooLarge = errors.New("answer is too large")

// Request is one HTTP request to a platform service.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Address is host and port of the service.
	Address string
	// Path is the escaped path with its query; it starts with a slash.
	Path string
	// Header is sent as it is; it may be nil.
	Header http.Header
	// Body is the request's body; it may be nil.
	Body []byte
	// MaxBytes bounds the body of the answer that Do reads; zero means
	// MaxBodyBytes.
	MaxBytes int
}

// Response is a whole HTTP answer.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header is the answer's header.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Open sends the call and returns the answer with its body still to be read.
// It follows no redirect. The transport repeats a call by itself only when
// nothing of it was sent, or when its method is safe, such as GET.
func Open(ctx context.Context, client *http.Client, c Request) (*http.Response, error) {
	req, err := build(ctx, c)
	if err != nil {
		return nil, NewOutcomeError(errNotSent, err)
	}
	if client == nil {
		client = http.DefaultClient
	}
	direct := *client
	direct.CheckRedirect = keepRedirect
	return direct.Do(req)
}

func build(ctx context.Context, c Request) (*http.Request, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "before the call")
	}
	if !strings.HasPrefix(c.Path, "/") {
		return nil, errors.Newf("path %q has no leading slash", c.Path)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	return req, nil
}

// keepRedirect hands a redirect to the caller as an answer.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends the call and reads the whole answer.
func Do(ctx context.Context, client *http.Client, c Request) (Response, error) {
	resp, err := Open(ctx, client, c)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	most := c.MaxBytes
	if most == 0 {
		most = MaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "read answer")
	}
	if len(body) > most {
		return Response{}, ErrTooLarge
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Decode reads a JSON answer into value.
func Decode(a Response, value any) error {
	return errors.Wrap(json.Unmarshal(a.Body, value), "decode answer")
}

// errNotSent marks a call that was given up before it was sent.
var errNotSent = errors.New("call was not sent")

// NeverSent reports whether err certainly came before anything was sent.
func NeverSent(err error) bool {
	if errors.Is(err, errNotSent) {
		return true
	}
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Escape makes a path segment of name.
func Escape(name string) string {
	return url.PathEscape(name)
}
