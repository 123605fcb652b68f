package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// streamRecord describes one record of a generated stream.
type streamRecord struct {
	// Seconds is the time that passes before the record is appended.
	Seconds int
	// Lease selects a lease record instead of a batch.
	Lease bool
	// Age is the age, in seconds, of the key that a batch claims.
	Age int
	// Stale gives a batch an epoch that is not that of the lease in force.
	Stale bool
}

func recordsGenerator() *rapid.Generator[[]streamRecord] {
	one := rapid.Custom(func(t *rapid.T) streamRecord {
		return streamRecord{
			Seconds: rapid.IntRange(0, LeaseSeconds/2).Draw(t, "seconds"),
			Lease:   rapid.IntRange(0, 4).Draw(t, "lease") == 0,
			Age:     rapid.IntRange(-FutureSeconds-10, testWindowSeconds+10).Draw(t, "age"),
			Stale:   rapid.IntRange(0, 3).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(one, 20, 80)
}

// longStream returns the stream and the keys that it claims. Key times are
// truncated to 100 s, so that most keys are claimed more than once.
func longStream(records []streamRecord) ([]entry, []string) {
	now, epoch := testTime, 0
	var log []entry
	var keys []string
	for i, r := range records {
		now = now.Add(time.Duration(r.Seconds) * time.Second)
		if r.Lease {
			epoch = i
			log = append(log, entry{at: now, record: Lease{Epoch: fmt.Sprint(epoch)}})
			continue
		}
		created := now.Add(-time.Duration(r.Age) * time.Second).Truncate(100 * time.Second)
		key := testKey(created, 1)
		keys = append(keys, key)
		b := Batch{Epoch: fmt.Sprint(epoch), Claims: []Claim{{Key: key, RequestID: fmt.Sprint(i)}}}
		if r.Stale {
			b.Epoch = "stale"
		}
		log = append(log, entry{at: now, record: b})
	}
	return log, keys
}

// compareReaders applies the whole stream to one state and its part from the
// horizon on to another. It returns an error if their bindings differ.
func compareReaders(records []streamRecord, horizon func(time.Time) time.Time) error {
	log, keys := longStream(records)
	oldest := horizon(log[len(log)-1].at)
	full, late := NewState(0, testWindowSeconds, 1), NewState(0, testWindowSeconds, 1)
	for i, e := range log {
		full.Apply(uint64(i+1), e.at, e.record)
		if !e.at.Before(oldest) {
			late.Apply(uint64(i+1), e.at, e.record)
		}
	}
	for _, key := range keys {
		a, _ := full.Lookup(key)
		b, _ := late.Lookup(key)
		if a != b {
			return errors.Newf("reader from the horizon has binding %v of key %s, reader of the whole stream has %v", b, key, a)
		}
	}
	return nil
}

func horizonOf(now time.Time) time.Time { return Horizon(now, testWindowSeconds) }

// TestReaderFromHorizonAgrees checks that a reader that starts at the horizon has
// the same bindings as one that read the whole stream.
func TestReaderFromHorizonAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareReaders(recordsGenerator().Draw(t, "records"), horizonOf); err != nil {
			t.Fatal(err)
		}
	})
}

// TestShortHorizonIsFound checks that the property above detects a horizon without
// the margin.
func TestShortHorizonIsFound(t *testing.T) {
	is := is.New(t)
	short := func(now time.Time) time.Time { return OldestKeyTime(now, testWindowSeconds) }
	const seeds = 1000
	for seed := range seeds {
		records := recordsGenerator().Example(seed)
		is.NoErr(compareReaders(records, horizonOf))
		if err := compareReaders(records, short); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no violation in %d seeds", seeds)
}
