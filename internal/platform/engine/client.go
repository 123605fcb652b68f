package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// Completion is the JSON body of a completion request.
type Completion struct {
	Request
	// Stream selects an answer of server-sent events, the only form that the
	// platform's engines support.
	Stream bool `json:"stream"`
}

// Client is an HTTP client of one engine.
type Client struct {
	// Address is the host and port of the engine.
	Address string
	// HTTP sends the requests; nil means a client with default settings. It must not limit the
	// duration of whole exchanges, because streams are long. If it reuses
	// connections, a request on a connection that the engine has just closed fails
	// with ErrBroken. With DisableKeepAlives each request opens a connection, so
	// that a request to an engine that has shut down fails with ErrRefused.
	HTTP *http.Client
}

// Generate starts a generation or attaches to one. It fails with ErrRefused when the
// engine certainly has not started the generation, else with ErrBroken. The stream ends
// when ctx ends.
func (c *Client) Generate(ctx context.Context, req Request) (*Stream, error) {
	body, err := json.Marshal(Completion{Request: req, Stream: true})
	if err != nil {
		return nil, errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "generate %s", req.ID)
	}
	resp, err := exchange.Open(ctx, c.HTTP, exchange.Request{
		Method: http.MethodPost, Address: c.Address, Path: "/v1/completions", Body: body,
	})
	if err != nil {
		return nil, errors.Wrapf(classify(err), "generate %s", req.ID)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, errors.Wrapf(statusError(resp.StatusCode), "generate %s", req.ID)
	}
	return newStream(req.ID, resp.Body), nil
}

// Cancel stops the generation of the request with the given ID. It succeeds also when
// the engine holds no such generation.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.do(ctx, http.MethodDelete, "/v1/completions/"+exchange.Escape(id), nil)
	return errors.Wrapf(err, "cancel %s", id)
}

// Order sends an order to the engine. It fails with ErrFenced when the engine checks
// fencing numbers and has seen a higher one, with ErrRefused when the order certainly
// had no effect, else with ErrBroken.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "order %s", order.Kind)
	}
	_, err = c.do(ctx, http.MethodPost, "/orders", body)
	return errors.Wrapf(err, "order %s", order.Kind)
}

// State returns the state of the engine that results from its orders. It fails with
// ErrNoState when the engine does not report its state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodGet, Address: c.Address, Path: "/orders"})
	if err != nil {
		return state, errors.Wrap(classify(err), "state")
	}
	switch resp.Status {
	case http.StatusOK:
		err = exchange.Decode(resp, &state)
		return state, errors.Wrap(err, "state")
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return state, errors.Wrap(ErrNoState, "state")
	default:
		return state, errors.Wrap(statusError(resp.Status), "state")
	}
}

// Load returns the engine's load at the time MeasuredAt.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, "/load", &load)
	return load, errors.Wrap(err, "load")
}

// CacheEvents returns the cache events with a sequence number greater than since.
func (c *Client) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, fmt.Sprintf("/cache-events?since=%d", since), &events)
	return events, errors.Wrap(err, "cache events")
}

// get decodes the JSON response to a GET request into value.
func (c *Client) get(ctx context.Context, path string, value any) error {
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := exchange.Decode(resp, value); err != nil {
		return exchange.NewOutcomeError(ErrBroken, err)
	}
	return nil
}

// do sends a request and reads the response. It fails unless the status is 200 or 204.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (exchange.Response, error) {
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: method, Address: c.Address, Path: path, Body: body})
	if err != nil {
		return resp, classify(err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusNoContent {
		return resp, statusError(resp.Status)
	}
	return resp, nil
}

// classify marks the error of a failed call: ErrRefused if the call was never sent, else
// ErrBroken, because the call may have arrived.
func classify(err error) error {
	if exchange.NeverSent(err) {
		return exchange.NewOutcomeError(ErrRefused, err)
	}
	return exchange.NewOutcomeError(ErrBroken, err)
}

// statusError returns the error for an HTTP status. Engines respond with a 4xx status or
// 503 only before they start the work, and with other error statuses at any time.
func statusError(status int) error {
	switch {
	case status == http.StatusPreconditionFailed:
		return ErrFenced
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrRefused, "status %d", status)
	default:
		return errors.Wrapf(ErrBroken, "status %d", status)
	}
}
