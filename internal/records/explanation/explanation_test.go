package explanation

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// everyKind returns records of eight kinds. The last two are out of order.
func everyKind() []Record {
	decisions := []Decision{
		Claimed{Partition: 3, Offset: 41, BoundTo: "r1", Backend: "draft-2", Reason: "first claim in log order"},
		Routed{Backend: "draft-2", Reason: "least forecast of two", Candidates: []Candidate{
			{
				Backend: "draft-1", AvailabilityZone: "za", SeenAt: start, Running: 12, Waiting: 3,
				MemoryPermille: 911, ForecastPermille: 1004, Score: 1.25, Excluded: "leaving",
			},
			{Backend: "draft-2", AvailabilityZone: "zb", Running: 4, MemoryPermille: 402, Score: 0.5},
		}},
		Waited{
			Reason: "forecast over limit", QueueLength: 2, ForecastPermille: 970, LimitPermille: 900,
			GiveUpAt: start.Add(time.Minute),
		},
		Preempted{Reason: "memory is full", Position: 12, InFavourOf: "r2"},
		Retried{Attempt: 2, Backend: "draft-2", Reason: "path is dead"},
		Resumed{Backend: "draft-2", Incarnation: 7, Sequence: 9, From: 12, Reason: "heartbeat missed"},
		Ended{Code: 1, Outcome: "complete", Reason: "stop", Tokens: 40, Attempts: 2},
		Refused{Code: 4, Reason: "queue is full", RetryAt: start.Add(time.Second)},
	}
	records := make([]Record, 0, len(decisions))
	for i, d := range decisions {
		records = append(records, Record{
			Time: start.Add(time.Duration(i) * time.Second), Process: "entry-1", Part: "visit",
			RequestID: "r1", Decision: d,
		})
	}
	records[6], records[7] = records[7], records[6]
	return records
}

func TestRender(t *testing.T) {
	goldie.New(t).Assert(t, "every-kind", []byte(Render(everyKind())))
	goldie.New(t).Assert(t, "empty", []byte(Render(nil)))
}

func TestJSON(t *testing.T) {
	is := is.New(t)
	lines, err := Encode(everyKind())
	is.NoErr(err)
	decoded, err := Decode(lines)
	is.NoErr(err)
	is.Equal(decoded, everyKind())
	text, err := json.MarshalIndent(everyKind(), "", "  ")
	is.NoErr(err)
	goldie.New(t).Assert(t, "every-kind-json", text)
}

func TestDecodeRejectsUnknownKind(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]string{`{"Kind":"Guessed","Decision":{}}`})
	is.True(errors.Is(err, ErrKind))
	_, err = Encode([]Record{{}})
	is.True(err != nil)
}

// TestRingKeepsLatestRecords compares the ring with the last records of a list.
func TestRingKeepsLatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		ids := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c"})).Draw(t, "ids")
		ring := Ring{Capacity: capacity}
		for i, id := range ids {
			ring.Add(Record{RequestID: id, Decision: Ended{Tokens: uint64(i)}})
		}
		kept := ids[max(0, len(ids)-capacity):]
		offset := len(ids) - len(kept)
		for _, id := range []string{"a", "b", "c"} {
			var want []uint64
			for i, other := range kept {
				if other == id {
					want = append(want, uint64(offset+i))
				}
			}
			found := ring.Find(id)
			if len(found) != len(want) {
				t.Fatalf("%s: got %d records, want %d", id, len(found), len(want))
			}
			for i, record := range found {
				if record.Decision.(Ended).Tokens != want[i] {
					t.Fatalf("%s: got %v, want %v", id, found, want)
				}
			}
		}
		if len(ring.latest) > capacity {
			t.Fatalf("index holds %d requests for %d records", len(ring.latest), capacity)
		}
	})
}

func BenchmarkRingAdd(b *testing.B) {
	var ring Ring
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	record := Record{Time: start, Decision: Ended{Code: 1}}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		record.RequestID = ids[i%len(ids)]
		ring.Add(record)
		i++
	}
}
