package directentry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestStandstillEndsNoStreamTooEarly guards against streams that are ended long before the end of the grace
// period because the process has stood still shortly before its signal, and against an end that may come
// too late.
func TestStandstillEndsNoStreamTooEarly(t *testing.T) {
	for name, tt := range map[string]struct {
		standstillMillis, graceSeconds int64
		endsMillis                     int64 // after the signal was handled
	}{
		"none":          {0, 8, 7700},
		"short":         {200, 8, 7700},
		"long":          {1000, 8, 6925},
		"short grace":   {300, 2, 1637},
		"all the grace": {9000, 8, -1075},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handledAt := boottime.Instant(0).AddMillis(20_000)
			signal := signalTimes{handledAt.AddMillis(-tt.standstillMillis), handledAt}
			stop, closeBy := signal.stopAt(float64(tt.graceSeconds))
			is.Equal(stop.EndsAt.MillisSince(handledAt), tt.endsMillis)
			is.True(closeBy.Before(signal.earliestAt.AddMillis(tt.graceSeconds * millisPerSecond)))
		})
	}
}
