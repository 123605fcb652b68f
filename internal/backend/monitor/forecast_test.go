package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestForecast checks that the expected memory of an engine includes the growth of
// its runs and the requests that are about to arrive, so that entry hosts do not
// overfill an engine whose runs have just begun.
func TestForecast(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var f forecasts
	f.add("growing", 5000, now)
	f.add("exceeded", 4000, now)
	f.add("arriving", 3000, now)
	report := platform.EngineReport{UsedTokens: 8200, Runs: []platform.EngineRun{
		{RequestID: "growing", Tokens: 3000},
		{RequestID: "exceeded", Tokens: 4200},
		{RequestID: "unknown", Tokens: 1000},
	}}
	is.Equal(f.expected(report, now), 8200+2000+minGrowthTokens+assumedGrowthTokens+3000)

	later := now.AddMillis(arrivalMillis + 1)
	is.Equal(f.expected(report, later), 8200+2000+minGrowthTokens+assumedGrowthTokens) // the request did not arrive
	f.prune(report, later)
	is.Equal(len(f.all), 2)
	f.prune(platform.EngineReport{}, later)
	is.Equal(len(f.all), 0)
}
