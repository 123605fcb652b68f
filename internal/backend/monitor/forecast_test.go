package monitor

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// An engine that is half full of drafts that have just begun is expected to be
// full, so that no further ones are placed there.
func TestForecast(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(1_000_000_000)
	var f forecasts
	f.add("young", 5000, now)
	f.add("past", 4000, now)
	f.add("coming", 3000, now)
	report := platform.EngineReport{UsedTokens: 8200, Runs: []platform.EngineRun{
		{RequestID: "young", Tokens: 3000},
		{RequestID: "past", Tokens: 4200},
		{RequestID: "unknown", Tokens: 1000},
	}}
	is.Equal(f.expected(report, now), 8200+2000+minGrowthTokens+assumedGrowthTokens+3000)

	later := now.AddMillis(arrivalMillis + 1)
	is.Equal(f.expected(report, later), 8200+2000+minGrowthTokens+assumedGrowthTokens) // it never came
	f.prune(report, later)
	is.Equal(len(f.all), 2)
	f.prune(platform.EngineReport{}, later)
	is.Equal(len(f.all), 0)
}
