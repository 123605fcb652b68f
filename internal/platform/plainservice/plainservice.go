// Package plainservice is the client of a plain service, such as booking or check-in.
package plainservice

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// ErrRefused says that the request was certainly not sent.
var ErrRefused = errors.New("request was not sent to the service")

// ErrBroken says that it is unknown whether the service ran the request.
var ErrBroken = errors.New("exchange with the service broke")

// RequestHeader carries the request's identity.
const RequestHeader = "Fulmarvalve-Request"

// MaxBodyBytes bounds the body of a request. That of a reply is bounded by
// exchange.MaxBodyBytes.
const MaxBodyBytes = 1 << 20

// Request is one call of a plain service.
type Request struct {
	// RequestID names the request.
	RequestID string
	// Method is the HTTP method. Only GET and HEAD may reach the service twice
	// in one call.
	Method string
	// Path is the escaped path with its query; it starts with a slash.
	Path string
	// Body is at most MaxBodyBytes long.
	Body []byte
	// ContentType is the media type of Body; it may be empty.
	ContentType string
}

// Reply is the service's whole answer, whatever its status.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the media type of Body; it may be empty.
	ContentType string
	// Body is at most exchange.MaxBodyBytes long.
	Body []byte
}

// Client reaches a plain service over HTTP.
type Client struct {
	// Address is host and port of the service.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient. With kept
	// connections, a request that meets one which the service has just closed
	// fails with ErrBroken; a transport with DisableKeepAlives dials anew, so that
	// a service that is gone shows as ErrRefused.
	HTTP *http.Client
}

// Call sends one request and reads the whole reply; it never repeats one by
// itself. It fails with ErrRefused when the request was certainly not sent,
// else with ErrBroken.
func (c *Client) Call(ctx context.Context, req Request) (Reply, error) {
	if len(req.Body) > MaxBodyBytes {
		return Reply{}, errors.Wrapf(ErrRefused, "call %s: body of %d bytes", req.RequestID, len(req.Body))
	}
	header := http.Header{}
	header.Set(RequestHeader, req.RequestID)
	if req.ContentType != "" {
		header.Set("Content-Type", req.ContentType)
	}
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: req.Method, Address: c.Address, Path: req.Path, Header: header, Body: req.Body,
	})
	if exchange.NeverSent(err) {
		return Reply{}, errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "call %s", req.RequestID)
	}
	if err != nil {
		return Reply{}, errors.Wrapf(exchange.NewOutcomeError(ErrBroken, err), "call %s", req.RequestID)
	}
	return Reply{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}, nil
}
