package storewatcher

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestPausedSince checks which reads show that the process was paused.
func TestPausedSince(t *testing.T) {
	const startedAt = boottime.Instant(1_000_000_000)
	f := follower{waitMillis: changeWaitMillis}
	limit := f.longestReadMillis()
	tests := []struct {
		name       string
		tookMillis int64
		want       bool
	}{
		{"usual read", changeWaitMillis, false},
		{"read at another entry host and at the store, both cut by their limits", limit, false},
		{"suspended", limit + 2*pauseSlackMillis, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(pausedSince(startedAt, startedAt.AddMillis(tt.tookMillis), limit), tt.want)
		})
	}
}
