package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// Completion is a request as it is sent.
type Completion struct {
	Request
	// Stream asks for server-sent events; engines here know no other form.
	Stream bool `json:"stream"`
}

// Client reaches an engine over HTTP.
type Client struct {
	// Address is host and port of the engine.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient. It must set no
	// timeout for whole exchanges, since streams last long. With kept
	// connections, a request that meets one which the engine has just closed
	// fails with ErrBroken; a transport with DisableKeepAlives dials anew, so that
	// an engine that is gone shows as ErrRefused.
	HTTP *http.Client
}

// Generate starts a generation or attaches to one. It fails with ErrRefused
// when the engine certainly did not start, else with ErrBroken. The stream
// ends with ctx.
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

// Cancel stops the generation of id. To cancel one that the engine does not
// hold is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.do(ctx, http.MethodDelete, "/v1/completions/"+exchange.Escape(id), nil)
	return errors.Wrapf(err, "cancel %s", id)
}

// Order gives an order. It fails with ErrFenced when the engine checks the
// fencing number and has seen a newer one, with ErrRefused when the order
// certainly had no effect, else with ErrBroken.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "order %s", order.Kind)
	}
	_, err = c.do(ctx, http.MethodPost, "/orders", body)
	return errors.Wrapf(err, "order %s", order.Kind)
}

// State returns what the engine's orders have made of it. It fails with
// ErrNoState when the engine does not report that.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodGet, Address: c.Address, Path: "/orders"})
	if err != nil {
		return state, errors.Wrap(classify(err), "state")
	}
	switch a.Status {
	case http.StatusOK:
		err = exchange.Decode(a, &state)
		return state, errors.Wrap(err, "state")
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return state, errors.Wrap(ErrNoState, "state")
	default:
		return state, errors.Wrap(statusError(a.Status), "state")
	}
}

// Load returns the engine's load as of its MeasuredAt.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, "/load", &load)
	return load, errors.Wrap(err, "load")
}

// CacheEvents returns the cache events that are known after sequence since.
func (c *Client) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, fmt.Sprintf("/cache-events?since=%d", since), &events)
	return events, errors.Wrap(err, "cache events")
}

func (c *Client) get(ctx context.Context, path string, value any) error {
	a, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := exchange.Decode(a, value); err != nil {
		return exchange.NewOutcomeError(ErrBroken, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (exchange.Response, error) {
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: method, Address: c.Address, Path: path, Body: body})
	if err != nil {
		return a, classify(err)
	}
	if a.Status != http.StatusOK && a.Status != http.StatusNoContent {
		return a, statusError(a.Status)
	}
	return a, nil
}

// classify tells a call that was never sent from one that may have arrived.
func classify(err error) error {
	if exchange.NeverSent(err) {
		return exchange.NewOutcomeError(ErrRefused, err)
	}
	return exchange.NewOutcomeError(ErrBroken, err)
}

// statusError names the error of an answer's status. Engines answer with a
// 4xx or 503 before they start, and with other failures at any time.
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
