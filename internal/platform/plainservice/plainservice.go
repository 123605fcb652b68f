// Package plainservice is the client of a plain service, such as booking or check-in.
package plainservice

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// ErrRefused means that the request was certainly not sent.
var ErrRefused = errors.New("request was not sent to the service")

// ErrBroken means that it is unknown whether the service ran the request.
var ErrBroken = errors.New("exchange with the service broke")

// errServiceEnded says that a reply that ended with its connection may have been cut.
var errServiceEnded = errors.New("service has ended, or can't be reached, after a reply without a length")

// endWaitMillis is the time for which it is asked whether a service is up.
const endWaitMillis = 1000

// RequestHeader is the header field with the request ID.
const RequestHeader = "Fulmarvalve-Request"

// MaxBodyBytes is the maximum size of a request body. That of a reply body is
// exchange.MaxBodyBytes.
const MaxBodyBytes = 1 << 20

// Request is one call of a plain service.
type Request struct {
	// RequestID identifies the request.
	RequestID string
	// Method is the HTTP method. Only a GET or HEAD request may reach the service
	// twice in one call, because the HTTP transport may retry it.
	Method string
	// Path is the escaped path with the query; it starts with a slash.
	Path string
	// Body is at most MaxBodyBytes long.
	Body []byte
	// ContentType is the media type of Body; it may be empty.
	ContentType string
}

// Reply is the complete response of the service, with any status.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the media type of Body; it may be empty.
	ContentType string
	// Body is at most exchange.MaxBodyBytes long.
	Body []byte
}

// Client is an HTTP client of a plain service.
type Client struct {
	// Address is the host and port of the service.
	Address string
	// HTTP sends the requests; nil means a client with default settings. If it reuses
	// connections, a request on a connection that the service has just closed fails
	// with ErrBroken. With DisableKeepAlives each request opens a connection, so
	// that a request to a service that has shut down fails with ErrRefused.
	HTTP *http.Client
	// Memory bounds what replies that are not complete make the process hold; nil for no bound.
	Memory *heldbytes.Budget
}

// Call sends one request and reads the complete reply. It does not retry. It fails with
// ErrRefused when the request was certainly not sent, else with ErrBroken.
func (c *Client) Call(ctx context.Context, req Request) (Reply, error) {
	if len(req.Body) > MaxBodyBytes {
		return Reply{}, errors.Wrapf(ErrRefused, "call %s: body of %d bytes", req.RequestID, len(req.Body))
	}
	header := http.Header{}
	header.Set(RequestHeader, req.RequestID)
	if req.ContentType != "" {
		header.Set("Content-Type", req.ContentType)
	}
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: req.Method, Address: c.Address, Path: req.Path, Header: header, Body: req.Body, Memory: c.Memory,
	})
	defer resp.Release()
	if exchange.NeverSent(err) {
		return Reply{}, errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "call %s", req.RequestID)
	}
	if err != nil {
		return Reply{}, errors.Wrapf(exchange.NewOutcomeError(ErrBroken, err), "call %s", req.RequestID)
	}
	if resp.EndsWithConnection && !c.isUp(ctx) {
		return Reply{}, errors.Wrapf(exchange.NewOutcomeError(ErrBroken, errServiceEnded), "call %s", req.RequestID)
	}
	return Reply{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// isUp reports whether the service is up after the end of a reply that ended with its connection. Otherwise
// it may have ended in the middle of the reply.
func (c *Client) isUp(ctx context.Context) bool {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(endWaitMillis*time.Millisecond))
	defer stop()
	verdict, _ := answerend.Decide(answerend.Knowledge{Port: transport.AskPort(ctx, c.Address)})
	return verdict == answerend.Whole
}
