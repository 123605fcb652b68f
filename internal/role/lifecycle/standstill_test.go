package lifecycle

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestSignalDuringStandstill guards against a process that counts its grace period from the end of a
// standstill, although the signal came before.
func TestSignalDuringStandstill(t *testing.T) {
	for name, tt := range map[string]struct {
		beats              []int64 // milliseconds
		handled, signalled int64
	}{
		"runs":                             {[]int64{100, 200, 300}, 350, 350},
		"first beat":                       {nil, 5000, 5000},
		"slow beats":                       {[]int64{100, 400, 700}, 990, 990},
		"stood still until the signal":     {[]int64{100, 200}, 1700, 200},
		"notes that it runs first":         {[]int64{100, 200, 1700}, 1701, 200},
		"handles the signal a little late": {[]int64{100, 200, 1700}, 1740, 200},
		"stood still shortly before":       {[]int64{100, 200, 1700, 1800}, 1890, 1890},
		"stood still long before":          {[]int64{100, 200, 1700, 1800, 1900, 2000, 2100}, 2150, 2150},
		"stands still twice":               {[]int64{100, 900, 1000}, 2000, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s standstill
			for _, at := range tt.beats {
				s = s.WithBeat(boottime.Instant(0).AddMillis(at))
			}
			is.Equal(s.SignalledAt(boottime.Instant(0).AddMillis(tt.handled)), boottime.Instant(0).AddMillis(tt.signalled))
		})
	}
}
