// Package weights is the client of the platform's rate-limited weight store.
package weights

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

// ErrUnavailable says that the store is down or that its answer was lost. To
// load again is safe.
var ErrUnavailable = errors.New("weight store is unavailable")

// ErrUnknownWeights says that the store has no such model or version.
var ErrUnknownWeights = errors.New("weight store has no such weights")

// defaultRetrySeconds is the wait when the store names none.
const defaultRetrySeconds = 1

// ThrottledError says that the store's rate limit refused a load.
type ThrottledError struct {
	// RetryAt is the earliest useful time to ask again, by the own clock.
	RetryAt time.Time
}

// Error returns the message.
func (e *ThrottledError) Error() string {
	return "weight store refused by its rate limit until " + e.RetryAt.UTC().Format(time.RFC3339)
}

// Client reaches the store over HTTP.
type Client struct {
	// Address is host and port of the store.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Load lets the store hand out the weights of a model's version, and returns
// when that is done. It fails with a *ThrottledError, ErrUnknownWeights or
// ErrUnavailable.
func (c *Client) Load(ctx context.Context, model, version string) error {
	path := "/weights/" + exchange.Escape(model) + "/" + exchange.Escape(version) + "/load"
	a, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodPost, Address: c.Address, Path: path})
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "load %s %s", model, version)
	}
	return errors.Wrapf(statusError(a), "load %s %s", model, version)
}

func statusError(a exchange.Response) error {
	switch a.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return &ThrottledError{RetryAt: retryAt(a.Header.Get("Retry-After"), time.Now())}
	case http.StatusNotFound:
		return ErrUnknownWeights
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", a.Status)
	}
}

// retryAt reads a Retry-After header: seconds or a date.
func retryAt(header string, now time.Time) time.Time {
	if seconds, err := strconv.Atoi(header); err == nil && seconds >= 0 {
		return now.Add(time.Duration(seconds) * time.Second)
	}
	if at, err := http.ParseTime(header); err == nil {
		return at
	}
	return now.Add(defaultRetrySeconds * time.Second)
}
