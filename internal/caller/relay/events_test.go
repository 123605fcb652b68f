package relay

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSplitter(t *testing.T) {
	cases := []struct {
		name     string
		parts    []string
		complete string
		lastID   string
	}{
		{"one event", []string{"id: 1\ndata: x\n\n"}, "id: 1\ndata: x\n\n", "1"},
		{"event split across reads", []string{"id: 1\nda", "ta: x\n", "\nid: 2\n"}, "id: 1\ndata: x\n\n", "1"},
		{"several events in one read", []string{"id: 1\n\nid: 2\n\nid"}, "id: 1\n\nid: 2\n\n", "2"},
		{"event with a line before its ID", []string{"weights: 2\nid: 7\ndata: x\n\n"}, "weights: 2\nid: 7\ndata: x\n\n", "7"},
		{"ID field inside of data", []string{"id: 3\ndata: id: 9\n\n"}, "id: 3\ndata: id: 9\n\n", "3"},
		{"partial event", []string{"id: 1\ndata: x\n"}, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s eventSplitter
			var complete strings.Builder
			for _, part := range c.parts {
				got, err := s.add([]byte(part))
				is.NoErr(err)
				complete.Write(got)
			}
			is.Equal(complete.String(), c.complete)
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

// FuzzSplitter checks that a stream that arrives in reads of any size yields its
// complete events unchanged and in order, and that no bytes are lost.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"), uint8(5))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("id:\n\nid: 4\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var s eventSplitter
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			complete, err := s.add(rest[:n])
			if err != nil {
				t.Fatal(err)
			}
			if len(complete) > 0 && !bytes.HasSuffix(complete, eventEnd) {
				t.Fatalf("%q does not end with an event", complete)
			}
			out = append(out, complete...)
			rest = rest[n:]
		}
		if bytes.Contains(s.pending, eventEnd) {
			t.Fatalf("complete event still pending: %q", s.pending)
		}
		if all := slices.Concat(out, s.pending); !bytes.Equal(all, stream) {
			t.Fatalf("events and pending bytes are %q, want %q", all, stream)
		}
	})
}

// BenchmarkSplitter splits events of the size that engines send.
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

// TestEventInSmallPieces guards against an event without end whose bytes are searched again at each read of
// a few more, which took whole processors.
func TestEventInSmallPieces(t *testing.T) {
	is := is.New(t)
	const pieces, limitMillis = 20_000, 2000
	var s eventSplitter
	_, err := s.add(bytes.Repeat([]byte("x"), maxEventBytes-pieces))
	is.NoErr(err)
	started := time.Now()
	for range pieces {
		_, err := s.add([]byte("x"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < limitMillis*time.Millisecond)
}
