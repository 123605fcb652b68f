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

// Client reaches the list over HTTP.
type Client struct {
	// Address is host and port of the list.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client

	mu sync.Mutex
	// tag is the entity tag of known; empty before the first answer.
	tag string
	// known is the last list that was received; it is never changed.
	known []Host
}

// Hosts returns the list. It asks only for what is newer than the last
// answer, and fails with ErrUnavailable. The result is the caller's own.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	tag, known := c.last()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: http.MethodGet, Address: c.Address, Path: "/hosts", Header: header,
	})
	if err != nil {
		return nil, errors.Wrap(exchange.NewOutcomeError(ErrUnavailable, err), "list hosts")
	}
	if a.Status == http.StatusNotModified && tag != "" {
		return slices.Clone(known), nil
	}
	if a.Status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "list hosts: status %d", a.Status)
	}
	var list List
	if err := exchange.Decode(a, &list); err != nil {
		return nil, errors.Wrap(exchange.NewOutcomeError(ErrUnavailable, err), "list hosts")
	}
	c.remember(a.Header.Get("ETag"), list.Hosts)
	return slices.Clone(list.Hosts), nil
}

// Register puts host into the list, in place of the entry with its name. It
// is idempotent. It fails with ErrRefused or ErrUnavailable.
func (c *Client) Register(ctx context.Context, host Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrRefused, err), "register %s", host.Name)
	}
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{
		Method: http.MethodPut, Address: c.Address, Path: "/hosts/" + exchange.Escape(host.Name), Body: body,
	})
	switch {
	case err != nil:
		return errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "register %s", host.Name)
	case a.Status == http.StatusNoContent:
		return nil
	case a.Status == http.StatusBadRequest:
		return errors.Wrapf(ErrRefused, "register %s: %s", host.Name, a.Body)
	default:
		return errors.Wrapf(ErrUnavailable, "register %s: status %d", host.Name, a.Status)
	}
}

func (c *Client) last() (string, []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.known
}

func (c *Client) remember(tag string, hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag = tag
	c.known = hosts
}
