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

// ErrUnavailable means that the weight store is unavailable or that its response was lost.
// A load may safely be retried.
var ErrUnavailable = errors.New("weight store is unavailable")

// ErrUnknownWeights means that the weight store has no such model or version.
var ErrUnknownWeights = errors.New("weight store has no such weights")

// defaultRetrySeconds is the wait before a retry when the store returns no valid
// Retry-After header.
const defaultRetrySeconds = 1

// ThrottledError means that the rate limit of the weight store refused a load.
type ThrottledError struct {
	// RetryAt is the earliest useful retry time, by the clock of this process.
	RetryAt time.Time
}

// Error returns the text, with the retry time.
func (e *ThrottledError) Error() string {
	return "weight store refused by its rate limit until " + e.RetryAt.UTC().Format(time.RFC3339)
}

// Client is an HTTP client of the weight store.
type Client struct {
	// Address is the host and port of the weight store.
	Address string
	// HTTP sends the requests; nil means a client with default settings.
	HTTP *http.Client
}

// Load requests the weight store to deliver the weights of a model version, and returns
// when the delivery is complete. It fails with a *ThrottledError, ErrUnknownWeights or
// ErrUnavailable.
func (c *Client) Load(ctx context.Context, model, version string) error {
	path := "/weights/" + exchange.Escape(model) + "/" + exchange.Escape(version) + "/load"
	resp, err := exchange.Do(ctx, c.HTTP, exchange.Request{Method: http.MethodPost, Address: c.Address, Path: path})
	if err != nil {
		return errors.Wrapf(exchange.NewOutcomeError(ErrUnavailable, err), "load %s %s", model, version)
	}
	return errors.Wrapf(statusError(resp), "load %s %s", model, version)
}

// statusError returns the error for the status of a response, or nil.
func statusError(resp exchange.Response) error {
	switch resp.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return &ThrottledError{RetryAt: retryAt(resp.Header.Get("Retry-After"), time.Now())}
	case http.StatusNotFound:
		return ErrUnknownWeights
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", resp.Status)
	}
}

// retryAt returns the time given by a Retry-After header, which is a number of seconds or
// a date.
func retryAt(header string, now time.Time) time.Time {
	if seconds, err := strconv.Atoi(header); err == nil && seconds >= 0 {
		return now.Add(time.Duration(seconds) * time.Second)
	}
	if at, err := http.ParseTime(header); err == nil {
		return at
	}
	return now.Add(defaultRetrySeconds * time.Second)
}
