package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestTokenTime checks that the time for a token is learnt from runs that grow, and not
// from prompts or from a run that was preempted.
func TestTokenTime(t *testing.T) {
	is := is.New(t)
	var times tokenTime
	is.Equal(times.millis(), float64(assumedTokenMillis))
	now := boottime.Instant(1_000_000_000)
	for n := range 400 {
		times.observe(platform.EngineReport{Runs: []platform.EngineRun{
			{RequestID: "grows", Tokens: 3000 + 2*n, Events: 1 + n},
			{RequestID: "reads its prompt", Tokens: 500 * n},
			{RequestID: "preempted", Tokens: 3000 - n, Events: 4},
		}}, now.AddMillis(int64(n)*40))
	}
	is.True(times.millis() > 18 && times.millis() < 21) // two tokens in 40 ms
	times.observe(platform.EngineReport{}, now.AddMillis(20_000))
	is.Equal(len(times.begun), 0)
}
