package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// write is one record of a long stream.
type write struct {
	// Seconds pass before the record is appended.
	Seconds int
	// Lease is whether it is a lease; else it is a batch.
	Lease bool
	// Age is the age in seconds of the key that a batch claims.
	Age int
	// Stale is whether a batch comes from the holder before the last one.
	Stale bool
}

func writeGenerator() *rapid.Generator[[]write] {
	one := rapid.Custom(func(t *rapid.T) write {
		return write{
			Seconds: rapid.IntRange(0, LeaseSeconds/2).Draw(t, "seconds"),
			Lease:   rapid.IntRange(0, 4).Draw(t, "lease") == 0,
			Age:     rapid.IntRange(-FutureSeconds-10, testWindowSeconds+10).Draw(t, "age"),
			Stale:   rapid.IntRange(0, 3).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(one, 20, 80)
}

// longStream returns the stream and the keys that it claims, most of them twice.
func longStream(writes []write) ([]entry, []string) {
	now, epoch := testTime, 0
	var log []entry
	var keys []string
	for i, w := range writes {
		now = now.Add(time.Duration(w.Seconds) * time.Second)
		if w.Lease {
			epoch = i
			log = append(log, entry{at: now, record: Lease{Epoch: fmt.Sprint(epoch)}})
			continue
		}
		made := now.Add(-time.Duration(w.Age) * time.Second).Truncate(100 * time.Second)
		key := testKey(made, 1)
		keys = append(keys, key)
		b := Batch{Epoch: fmt.Sprint(epoch), Claims: []Claim{{Key: key, RequestID: fmt.Sprint(i)}}}
		if w.Stale {
			b.Epoch = "stale"
		}
		log = append(log, entry{at: now, record: b})
	}
	return log, keys
}

// compareReaders folds the whole stream and its part from the horizon on.
func compareReaders(writes []write, horizon func(time.Time) time.Time) error {
	log, keys := longStream(writes)
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
			return errors.Newf("late reader holds %v, not %v", b, a)
		}
	}
	return nil
}

func horizonOf(now time.Time) time.Time { return Horizon(now, testWindowSeconds) }

func TestReaderFromHorizonAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareReaders(writeGenerator().Draw(t, "writes"), horizonOf); err != nil {
			t.Fatal(err)
		}
	})
}

// TestShortHorizonIsFound shows that the property can fail.
func TestShortHorizonIsFound(t *testing.T) {
	is := is.New(t)
	short := func(now time.Time) time.Time { return OldestKeyTime(now, testWindowSeconds) }
	const seeds = 1000
	for seed := range seeds {
		writes := writeGenerator().Example(seed)
		is.NoErr(compareReaders(writes, horizonOf))
		if err := compareReaders(writes, short); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no violation in %d seeds", seeds)
}
