package configversion

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
)

func TestFoldVerdicts(t *testing.T) {
	a, b := smallDocument(1), smallDocument(2)
	restart := func(id string, version, through uint64) Restart {
		return Restart{ID: id, Version: version, Document: b, Through: through}
	}
	tests := map[string]struct {
		entries []Entry
		want    []Verdict
	}{
		"first wins": {
			[]Entry{proposal("a", 0, a), proposal("b", 0, b)},
			[]Verdict{Accepted{1}, Conflicting{Replaces: 0, InForce: 1, Winner: "a", Author: "operator of a"}},
		},
		"appended twice": {
			[]Entry{proposal("a", 0, a), proposal("a", 0, a), proposal("b", 1, b), proposal("a", 0, a)},
			[]Verdict{Accepted{1}, Repeated{}, Accepted{2}, Conflicting{Replaces: 0, InForce: 2, Winner: "b", Author: "operator of b"}},
		},
		"version ahead": {
			[]Entry{proposal("a", 4, a)},
			[]Verdict{Conflicting{Replaces: 4}},
		},
		"late snapshot": {
			[]Entry{proposal("a", 0, a), proposal("b", 1, b), Snapshot{ID: "a", Version: 1, Document: a, Through: 1}},
			[]Verdict{Accepted{1}, Accepted{2}, Repeated{}},
		},
		"restart": {
			[]Entry{proposal("a", 0, a), restart("r", 9, 1), restart("r", 9, 1), proposal("b", 9, b)},
			[]Verdict{Accepted{1}, Accepted{9}, Repeated{}, Accepted{10}},
		},
		"concurrent restarts": {
			[]Entry{proposal("a", 0, a), restart("r", 9, 1), restart("s", 9, 1)},
			[]Verdict{Accepted{1}, Accepted{9}, Conflicting{Replaces: 8, InForce: 9, Winner: "r"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var records []journal.Record
			for i, e := range tt.entries {
				records = append(records, journal.Record{Offset: uint64(i + 1), Data: mustEncode(t, e)})
			}
			_, verdicts := foldAll(State{}, records)
			is.Equal(verdicts, tt.want)
		})
	}
}

func TestFoldVoidsInvalidRecords(t *testing.T) {
	skipping := proposal("a", 0, smallDocument(1))
	skipping.Version = 2
	tests := map[string][]byte{
		"not gzip":                             []byte("text"),
		"truncated":                            mustEncode(t, proposal("a", 0, smallDocument(1)))[:40],
		"unknown kind":                         compress(t, `{"Format":1,"Kind":"Order","ID":"a","Version":1,"Document":{}}`),
		"no ID":                                compress(t, `{"Format":1,"Kind":"Proposal","Version":1,"Document":{}}`),
		"no format":                            compress(t, `{"Kind":"Proposal","ID":"a","Version":1,"Document":{}}`),
		"invalid document":                     compress(t, `{"Format":1,"Kind":"Proposal","ID":"a","Version":1,"Document":{"Services":[]}}`),
		"skips a version":                      mustEncode(t, skipping),
		"future snapshot":                      mustEncode(t, Snapshot{ID: "a", Version: 3, Through: 1, Document: smallDocument(1)}),
		"snapshot of a version never accepted": mustEncode(t, Snapshot{ID: "a", Version: 3, Through: 0, Document: smallDocument(1)}),
		"future restart":                       mustEncode(t, Restart{ID: "a", Version: 3, Through: 1, Document: smallDocument(1)}),
		"too large":                            compress(t, strings.Repeat(" ", maxDecodedBytes+1)),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state, v := State{}.Apply(journal.Record{Offset: 1, Data: data})
			_, void := v.(Void)
			is.True(void)
			is.Equal(state, State{Through: 1})
		})
	}
}

func TestFoldStopsAtNewerFormat(t *testing.T) {
	is := is.New(t)
	data := compress(t, `{"Format":2,"Kind":"Proposal","ID":"a","Version":1,"Document":{}}`)
	state, v := State{}.Apply(journal.Record{Offset: 1, Data: data})
	undecided, ok := v.(Undecided)
	is.True(ok)
	is.True(errors.Is(undecided.Reason, ErrNewerFormat))
	is.Equal(state, State{})
}

func compress(t *testing.T, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write([]byte(text))
	is.New(t).NoErr(err)
	is.New(t).NoErr(w.Close())
	return b.Bytes()
}

// stream is a generated stream with the state after each prefix.
type stream struct {
	records []journal.Record
	// states[i] is the state after the first i records.
	states []State
}

// drawStream generates a stream of concurrent proposals, duplicate proposals, invalid
// records, restarts, and snapshots of any earlier prefix.
func drawStream(t *rapid.T) stream {
	s := stream{states: []State{{}}}
	var sent []Proposal
	start := time.Unix(1_700_000_000, 0)
	for i := range rapid.IntRange(1, 30).Draw(t, "records") {
		current := s.states[i]
		var data []byte
		switch kind := rapid.SampledFrom([]string{"proposal", "stale", "repeat", "snapshot", "garbage", "restart"}).Draw(t, "kind"); {
		case kind == "snapshot" && current.Configuration.Version > 0:
			past := s.states[rapid.IntRange(1, i).Draw(t, "prefix")]
			if past.Configuration.Version == 0 {
				past = current
			}
			data = mustEncodeRapid(t, past.Snapshot())
		case kind == "restart":
			data = mustEncodeRapid(t, Restart{
				ID:       fmt.Sprintf("r%d", i),
				Version:  current.Configuration.Version + rapid.Uint64Range(1, 3).Draw(t, "jump"),
				Document: smallDocument(i),
				Through:  uint64(rapid.IntRange(max(0, i-2), i).Draw(t, "through")),
			})
		case kind == "repeat" && len(sent) > 0:
			data = mustEncodeRapid(t, rapid.SampledFrom(sent).Draw(t, "sent"))
		case kind == "garbage":
			data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")
		default:
			replaces := current.Configuration.Version
			if kind == "stale" {
				replaces = rapid.Uint64Range(0, replaces+1).Draw(t, "replaces")
			}
			p := proposal(fmt.Sprintf("p%d", i), replaces, smallDocument(i))
			sent = append(sent, p)
			data = mustEncodeRapid(t, p)
		}
		record := journal.Record{Offset: uint64(i + 1), AppendedAt: start.Add(time.Duration(i) * time.Second), Data: data}
		next, _ := current.Apply(record)
		s.records = append(s.records, record)
		s.states = append(s.states, next)
	}
	return s
}

func mustEncodeRapid(t *rapid.T, e Entry) []byte {
	data, err := Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sameState reports whether two states have the same configuration and prefix.
func sameState(a, b State) bool {
	return a.Configuration.Version == b.Configuration.Version && a.Configuration.ID == b.Configuration.ID && a.Through == b.Through
}

// TestFoldProperties checks that no record decreases the version, skips more versions
// than the generator does, or replaces the configuration of the version in force.
func TestFoldProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		for i := range s.records {
			before, after := s.states[i].Configuration, s.states[i+1].Configuration
			if after.Version < before.Version || after.Version > before.Version+3 {
				t.Fatalf("record %d changed version %d to %d", i+1, before.Version, after.Version)
			}
			if after.Version == before.Version && after.ID != before.ID {
				t.Fatalf("record %d replaced %s by %s within version %d", i+1, before.ID, after.ID, after.Version)
			}
		}
	})
}

// TestAnchoredFoldAgrees drops any prefix of any stream. A reader that starts from the
// anchor of the remaining records, or from any usable snapshot among them, must end in
// the same state as a reader of the whole stream.
func TestAnchoredFoldAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		dropped := rapid.IntRange(0, len(s.records)).Draw(t, "dropped")
		rest := s.records[dropped:]
		var starts []State
		if anchor, ok := Anchor(rest, uint64(dropped+1)); ok {
			starts = append(starts, anchor)
		}
		for _, record := range rest {
			if snapshot, ok := usableSnapshot(record, uint64(dropped+1)); ok {
				starts = append(starts, snapshot)
			}
		}
		want := s.states[len(s.records)]
		for _, start := range starts {
			c := cursor{state: start}
			if err := c.fold(rest); err != nil {
				t.Fatal(err)
			}
			if !sameState(c.state, want) {
				t.Fatalf("dropped %d records, started through %d: got version %d of %s through %d, want %d of %s through %d",
					dropped, start.Through, c.state.Configuration.Version, c.state.Configuration.ID, c.state.Through,
					want.Configuration.Version, want.Configuration.ID, want.Through)
			}
		}
	})
}

// TestSnapshotRoundTrip checks that a reader that starts from the snapshot of any prefix
// ends in the same state as a reader of the whole stream.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		at := rapid.IntRange(0, len(s.records)).Draw(t, "prefix")
		if s.states[at].Configuration.Version == 0 {
			return
		}
		state, err := decodeState(mustEncodeRapid(t, s.states[at].Snapshot()))
		if err != nil {
			t.Fatal(err)
		}
		if !state.AnchoredAt.Equal(s.states[at].AnchoredAt) {
			t.Fatalf("anchored at %v, want %v", state.AnchoredAt, s.states[at].AnchoredAt)
		}
		end, _ := foldAll(state, s.records[at:])
		if !sameState(end, s.states[len(s.records)]) {
			t.Fatalf("the reader that starts from the snapshot of the first %d records ends in another state", at)
		}
	})
}
