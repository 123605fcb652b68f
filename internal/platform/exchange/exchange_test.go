package exchange_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	cockroach "github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/exchange"
)

func TestResponseIsBounded(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		want  error
	}{
		{"at the limit", exchange.MaxBodyBytes, nil},
		{"above the limit", exchange.MaxBodyBytes + 1, exchange.ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, tt.bytes))
			}))
			defer server.Close()
			_, err := exchange.Do(t.Context(), nil, exchange.Request{
				Method: http.MethodGet, Address: server.Listener.Addr().String(), Path: "/",
			})
			is.True(errors.Is(err, tt.want))
			is.True(!exchange.NeverSent(err))
		})
	}
}

// TestOutcomeErrorMatchesKindAndCause checks that errors.Is finds both the kind and the
// cause of an error, with the standard package and with cockroachdb/errors.
func TestOutcomeErrorMatchesKindAndCause(t *testing.T) {
	is := is.New(t)
	kind := cockroach.New("kind")
	err := cockroach.Wrap(exchange.NewOutcomeError(kind, cockroach.Wrap(context.Canceled, "cause")), "call")
	is.Equal(err.Error(), "call: kind: cause: context canceled")
	for _, want := range []error{kind, context.Canceled} {
		is.True(errors.Is(err, want))
		is.True(cockroach.Is(err, want))
	}
	is.True(!cockroach.Is(err, context.DeadlineExceeded))
}
