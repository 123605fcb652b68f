package crashlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// releasePageMillis is the time limit of each page of the records that Release reads.
const releasePageMillis = 2000

// Release ends all evidence against a trait of requests, for all entry hosts, and returns the number
// of crashes that were recorded under it. It is for operators.
func Release(ctx context.Context, store *platform.Store, trait string) (int, error) {
	records, err := store.Newest(ctx, platform.CrashesTopic, releasePageMillis)
	if err != nil {
		return 0, err
	}
	var changes []quarantine.Change
	for _, record := range records.List {
		if change, err := quarantine.Decode(record.Key, record.Value); err == nil {
			changes = append(changes, change)
		}
	}
	crashes, newestUnixMillis := quarantine.CrashesUnder(changes, trait)
	if crashes == 0 {
		return 0, nil
	}
	release := quarantine.Clearance{
		Trait: trait,
		// The clocks of hosts may be ahead.
		ThroughUnixMillis: max(newestUnixMillis, time.Now().UnixMilli()),
		Released:          true,
	}
	key, value, valid := quarantine.Encode(release)
	if !valid {
		return 0, errors.Newf("trait %q cannot be recorded", trait)
	}
	return crashes, store.Append(ctx, platform.CrashesTopic, []platform.Record{{Key: key, Value: value}})
}
