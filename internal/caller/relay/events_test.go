package relay

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSplitter(t *testing.T) {
	cases := []struct {
		name   string
		parts  []string
		whole  string
		lastID string
	}{
		{"one event", []string{"id: 1\ndata: x\n\n"}, "id: 1\ndata: x\n\n", "1"},
		{"split anywhere", []string{"id: 1\nda", "ta: x\n", "\nid: 2\n"}, "id: 1\ndata: x\n\n", "1"},
		{"several at once", []string{"id: 1\n\nid: 2\n\nid"}, "id: 1\n\nid: 2\n\n", "2"},
		{"event with a first line before its number", []string{"weights: 2\nid: 7\ndata: x\n\n"}, "weights: 2\nid: 7\ndata: x\n\n", "7"},
		{"number inside of data", []string{"id: 3\ndata: id: 9\n\n"}, "id: 3\ndata: id: 9\n\n", "3"},
		{"torn", []string{"id: 1\ndata: x\n"}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s eventSplitter
			var whole strings.Builder
			for _, part := range c.parts {
				got, err := s.add([]byte(part))
				is.NoErr(err)
				whole.Write(got)
			}
			is.Equal(whole.String(), c.whole)
			is.Equal(s.lastID, c.lastID)
		})
	}
}

func TestSplitterBoundsAnEvent(t *testing.T) {
	is := is.New(t)
	var s eventSplitter
	_, err := s.add(bytes.Repeat([]byte("x"), maxEventBytes+1))
	is.True(err != nil)
}

// Whatever the sizes in which a stream arrives, its whole events come out
// unchanged and in order, and nothing is lost.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"), uint8(5))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("id:\n\nid: 4\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var s eventSplitter
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			whole, err := s.add(rest[:n])
			if err != nil {
				t.Fatal(err)
			}
			if len(whole) > 0 && !bytes.HasSuffix(whole, eventEnd) {
				t.Fatalf("%q does not end with an event", whole)
			}
			out = append(out, whole...)
			rest = rest[n:]
		}
		if bytes.Contains(s.pending, eventEnd) {
			t.Fatalf("whole event held back: %q", s.pending)
		}
		if all := slices.Concat(out, s.pending); !bytes.Equal(all, stream) {
			t.Fatalf("events %q, want %q", all, stream)
		}
	})
}

// BenchmarkSplitter passes one event on, as engines send it.
func BenchmarkSplitter(b *testing.B) {
	event := []byte("id: 17\ndata: " + strings.Repeat("t", 340) + "\n\n")
	var s eventSplitter
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.add(event); err != nil {
			b.Fatal(err)
		}
	}
}
