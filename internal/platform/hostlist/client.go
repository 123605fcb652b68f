package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// Client is an HTTP client of the host list.
type Client struct {
	// Address is the host and port of the host list.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client

	mu sync.Mutex
	// tag is the entity tag of known; it is empty before the first response.
	tag string
	// known is the last received list. It must not be modified, because it is read
	// without the lock.
	known []Host
}

// Hosts returns the host list. The request is conditional, so that the list is
// transferred only when it has changed. Hosts fails with ErrUnavailable. The caller may
// modify the result.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	tag, known := c.last()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: http.MethodGet, Address: c.Address, Path: "/hosts", Header: header,
	})
	if err != nil {
		return nil, errors.Wrap(exchange.NewOutcomeError(ErrUnavailable, err), "list hosts")
	}
	if resp.Status == http.StatusNotModified && tag != "" {
		return slices.Clone(known), nil
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "list hosts: status %d", resp.Status)
	}
	var list List
	if err := exchange.Decode(resp, &list); err != nil {
		return nil, errors.Wrap(exchange.NewOutcomeError(ErrUnavailable, err), "list hosts")
	}
	c.remember(resp.Header.Get("ETag"), list.Hosts)
	return slices.Clone(list.Hosts), nil
}

// Register adds the host to the host list, or replaces the entry with its name. It is
// idempotent. It fails with ErrRefused or ErrUnavailable.
func (c *Client) Register(ctx context.Context, host Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "register %s", host.Name)
	}
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: http.MethodPut, Address: c.Address, Path: "/hosts/" + exchange.Escape(host.Name), Body: body,
	})
	switch {
	case err != nil:
		return errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "register %s", host.Name)
	case resp.Status == http.StatusNoContent:
		return nil
	case resp.Status == http.StatusBadRequest:
		return errors.Wrapf(ErrRefused, "register %s: %s", host.Name, resp.Body)
	default:
		return errors.Wrapf(ErrUnavailable, "register %s: status %d", host.Name, resp.Status)
	}
}

// last returns the last received list with its entity tag.
func (c *Client) last() (string, []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.known
}

// remember stores a received list with its entity tag.
func (c *Client) remember(tag string, hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag = tag
	c.known = hosts
}
