package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// Client is an HTTP client of the host list.
type Client struct {
	// Address is the host and port of the host list.
	Address string
	// HTTP sends the requests; nil means a client with default settings.
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
	hosts, err := decodeList(resp.Body)
	if err != nil {
		return nil, errors.Wrap(exchange.NewOutcomeError(ErrUnavailable, err), "list hosts")
	}
	c.remember(resp.Header.Get("ETag"), hosts)
	return slices.Clone(hosts), nil
}

// decodeList decodes the host list. It leaves out entries that describe no host, as another writer
// may have left them. Each entry is decoded by itself, so that the others hold. The body must be whole,
// as gjson also reads the beginning of one.
func decodeList(body []byte) ([]Host, error) {
	if !gjson.ValidBytes(body) {
		return nil, errors.New("answer is no whole JSON value")
	}
	list := gjson.GetBytes(body, "Hosts")
	if !list.IsArray() && (!list.Exists() || list.Type != gjson.Null) {
		return nil, errors.New("answer has no list of hosts")
	}
	var hosts []Host
	list.ForEach(func(_, entry gjson.Result) bool {
		var host Host
		if json.Unmarshal([]byte(entry.Raw), &host) == nil && host.isUsable() {
			hosts = append(hosts, host)
		}
		return true
	})
	return hosts, nil
}

// isUsable reports whether the entry names a host, with an address that can be called or none.
func (h Host) isUsable() bool {
	if h.Name == "" || h.PeerAddress == "" {
		return h.Name != ""
	}
	address, err := netip.ParseAddrPort(h.PeerAddress)
	return err == nil && address.Port() != 0
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
