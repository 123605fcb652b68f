package lifecycle

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestReserveBeforeEndOfGracePeriod guards against a process whose platform ends it before it has answered,
// and against a short grace period that is all reserve.
func TestReserveBeforeEndOfGracePeriod(t *testing.T) {
	reserve := Reserve{Millis: 300, Share: 0.125}
	for name, tt := range map[string]struct {
		graceSeconds              float64
		beginsMillis, quarterMark int64 // after the signal
	}{
		"long":       {10, 9700, 9925},
		"at the cap": {2.4, 2100, 2325},
		"short":      {1, 875, 968},
		"none":       {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			signalledAt := boottime.Instant(0).AddMillis(5000)
			is.Equal(reserve.BeginsAt(signalledAt, tt.graceSeconds), signalledAt.AddMillis(tt.beginsMillis))
			is.Equal(reserve.LastQuarter().BeginsAt(signalledAt, tt.graceSeconds), signalledAt.AddMillis(tt.quarterMark))
		})
	}
}
