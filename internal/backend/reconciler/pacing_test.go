package reconciler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/weights"
)

// TestPauses: a request is not retried before the retry time of the store, and the
// random pause after it is within the bounds for the number of engines.
func TestPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	retryAt := now.Add(7 * time.Second)
	throttled := &weights.ThrottledError{RetryAt: retryAt}
	tests := []struct {
		name           string
		replicas       int
		refusals       int
		err            error
		from           time.Time
		least, longest time.Duration
	}{
		{"first refusal", 100, 0, throttled, retryAt, 5 * time.Second, 15 * time.Second},
		{"many refusals", 100, 50, throttled, retryAt, 1250 * time.Millisecond, 3750 * time.Millisecond},
		{"a few engines", 1, 0, throttled, retryAt, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"very many engines", 100_000, 0, throttled, retryAt, 60 * time.Second, 180 * time.Second},
		{"store is down", 100, 9, weights.ErrUnavailable, now, 1250 * time.Millisecond, 3750 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for range 100 {
				p := pacing{replicas: tt.replicas, refusals: tt.refusals}
				pause := p.retryAt(tt.err, now).Sub(tt.from)
				is.True(pause >= tt.least)
				is.True(pause <= tt.longest+time.Nanosecond)
			}
		})
	}
}
