// Package exchange is the HTTP layer that the clients of the platform share. It sends one
// request, reads a response of bounded size, and reports whether a failed request may
// have reached the server.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerhead"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

// MaxBodyBytes is the default of Request.MaxBytes.
const MaxBodyBytes = 16 << 20

// responseName names the bodies of responses in the budget of a Request.
const responseName = "response"

// ErrTooLarge means that the body of a response is larger than Request.MaxBytes.
var ErrTooLarge = errors.New("answer is too large")

// Request is one HTTP request to a platform service.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Address is the host and port of the service.
	Address string
	// Path is the escaped path with the query; it starts with a slash.
	Path string
	// Header holds the header fields; it may be nil.
	Header http.Header
	// Body is the body of the request; it may be nil.
	Body []byte
	// MaxBytes is the maximum size of the response body that Do reads; zero means
	// MaxBodyBytes.
	MaxBytes int
	// Memory bounds what all servers make the process hold; nil for no bound. The body counts until
	// Response.Release.
	Memory *heldbytes.Budget
	// Weight is the memory that a byte of the body takes with what it is decoded into; zero counts as
	// one.
	Weight int64
}

// Response is an HTTP response with its complete body.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// EndsWithConnection says that the body has neither a length nor chunks, so that nothing in it shows
	// that it is complete.
	EndsWithConnection bool

	// held is the memory of the body.
	held *heldbytes.Holding
}

// Release says that the body is not used any more.
func (r Response) Release() {
	r.held.Close()
}

// defaultClient is the client of requests without one of their own.
var defaultClient = &http.Client{Transport: answerhead.Strict(http.DefaultTransport.(*http.Transport).Clone())}

// Open sends the request and returns the response, whose body the caller must read and
// close. It does not follow redirects. The HTTP transport retries a request by itself only
// if nothing of it was sent, or if its method is safe, such as GET.
func Open(ctx context.Context, client *http.Client, r Request) (*http.Response, error) {
	req, err := build(ctx, r)
	if err != nil {
		return nil, NewOutcomeError(errNotSent, err)
	}
	if client == nil {
		client = defaultClient
	}
	direct := *client
	direct.CheckRedirect = keepRedirect
	return direct.Do(req)
}

// build returns the HTTP request for r. It fails when ctx has ended.
func build(ctx context.Context, r Request) (*http.Request, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "before the call")
	}
	if !strings.HasPrefix(r.Path, "/") {
		return nil, errors.Newf("path %q has no leading slash", r.Path)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	return req, nil
}

// keepRedirect makes an HTTP client return a redirect as the response.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends the request and reads the complete response. If the budget of the request is set, the response
// must be released.
func Do(ctx context.Context, client *http.Client, r Request) (Response, error) {
	ctx, giveWay := context.WithCancel(ctx)
	defer giveWay()
	resp, err := Open(ctx, client, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	limits := heldbytes.BodyLimits{MostBytes: int64(cmp.Or(r.MaxBytes, MaxBodyBytes)), Length: resp.ContentLength, Weight: r.Weight}
	held := r.Memory.Open(responseName, giveWay)
	body, err := held.ReadAll(ctx, resp.Body, heldbytes.Report, limits)
	if err != nil {
		held.Close()
	}
	switch {
	case errors.Is(err, heldbytes.ErrTooLarge):
		return Response{}, ErrTooLarge
	case err != nil:
		return Response{}, errors.Wrap(err, "read answer")
	}
	return Response{
		Status: resp.StatusCode, Header: resp.Header, Body: body, held: held,
		EndsWithConnection: answerend.EndsWithConnection(resp),
	}, nil
}

// Decode decodes the JSON body of a response into value.
func Decode(resp Response, value any) error {
	return errors.Wrap(json.Unmarshal(resp.Body, value), "decode answer")
}

// errNotSent marks the error of a request that failed before it was sent.
var errNotSent = errors.New("call was not sent")

// NeverSent reports whether the request that failed with err was certainly not sent, not
// even in part.
func NeverSent(err error) bool {
	if errors.Is(err, errNotSent) {
		return true
	}
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// Escape escapes a name for use as a path segment.
func Escape(name string) string {
	return url.PathEscape(name)
}
