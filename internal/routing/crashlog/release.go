package crashlog

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/quarantine"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// releasePageMillis is the time limit of each page of the records that Release reads.
const releasePageMillis = 2000

// Release ends all evidence against a part of prompts, for all entry hosts, and returns the
// number of records that it has deleted. It is for operators.
func Release(ctx context.Context, store *platform.Store, part string) (int, error) {
	records, err := store.Newest(ctx, platform.CrashesTopic, releasePageMillis)
	if err != nil {
		return 0, err
	}
	var ends []platform.Record
	for _, record := range records.List {
		change, err := quarantine.Decode(record.Key, record.Value)
		if err != nil {
			continue
		}
		if evidence, ok := change.(quarantine.Evidence); ok && evidence.Part == part {
			ends = append(ends, platform.Record{Key: record.Key})
		}
	}
	if len(ends) == 0 {
		return 0, nil
	}
	return len(ends), store.Append(ctx, platform.CrashesTopic, ends)
}
