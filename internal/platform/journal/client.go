package journal

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// Appended is the log's response to an append.
type Appended struct {
	// Offset is the offset of the new record.
	Offset uint64
}

// Client is an HTTP client of the log. It implements Log.
type Client struct {
	// Address is the host and port of the log.
	Address string
	// HTTP sends the requests; nil means a client with default settings.
	HTTP *http.Client
}

var _ Log = (*Client)(nil)

// Append appends one record and returns its offset. It fails with ErrThrottled or
// ErrRefused when the record was certainly not appended, else with ErrUnavailable or
// ErrUnknown.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	path := "/streams/" + exchange.Escape(stream) + "/records"
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodPost, Address: c.Address, Path: path, Body: data})
	if exchange.NeverSent(err) {
		return 0, errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "append to %s", stream)
	}
	if err != nil {
		return 0, errors.Wrapf(exchange.NewOutcomeError(ErrUnknown, err), "append to %s", stream)
	}
	if err := refusal(resp.Status, ErrUnknown); err != nil {
		return 0, errors.Wrapf(err, "append to %s", stream)
	}
	var done Appended
	if err := exchange.Decode(resp, &done); err != nil {
		return 0, errors.Wrapf(exchange.NewOutcomeError(ErrUnknown, err), "append to %s", stream)
	}
	if done.Offset == 0 {
		return 0, errors.Wrapf(ErrUnknown, "append to %s: answer without offset", stream)
	}
	return done.Offset, nil
}

// Read returns one page of the stream. It fails with ErrThrottled, ErrRefused or
// ErrUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (Page, error) {
	path := fmt.Sprintf("/streams/%s/records?from=%d&limit=%d", exchange.Escape(stream), from, limit)
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodGet, Address: c.Address, Path: path})
	if err != nil {
		return Page{}, errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "read %s", stream)
	}
	if err := refusal(resp.Status, ErrUnavailable); err != nil {
		return Page{}, errors.Wrapf(err, "read %s", stream)
	}
	var p Page
	if err := exchange.Decode(resp, &p); err != nil {
		return Page{}, errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "read %s", stream)
	}
	return p, nil
}

// refusal returns the error for an HTTP status. It wraps otherwise when the status does
// not determine the outcome.
func refusal(status int, otherwise error) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status >= 400 && status < 500:
		return errors.Wrapf(ErrRefused, "status %d", status)
	default:
		return errors.Wrapf(otherwise, "status %d", status)
	}
}
