package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEventRoundTrip checks that DecodeEvent is the reverse of EncodeEvent.
func TestEventRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		text := rapid.String().Draw(t, "text")
		number := rapid.IntRange(0, 1<<30).Draw(t, "number")
		event := rapid.SampledFrom([]Event{
			Token{RequestID: id, Position: number, Text: text},
			Preempted{RequestID: id},
			Resumed{RequestID: id},
			Finished{RequestID: id, Reason: text, Tokens: number},
		}).Draw(t, "event")
		data, err := EncodeEvent(event)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeEvent(data)
		if err != nil || got != event {
			t.Fatalf("got event %#v and error %v, want event %#v", got, err, event)
		}
	})
}

// TestStreamEnds checks after how many events, and with which error, a stream ends.
func TestStreamEnds(t *testing.T) {
	const token = `data: {"Kind":"Token","RequestID":"a","Text":"x"}` + "\n\n"
	const end = `data: {"Kind":"Finished","RequestID":"a","Reason":"stop","Tokens":1}` + "\n\n"
	const otherEnd = `data: {"Kind":"Finished","RequestID":"b","Reason":"stop"}` + "\n\n"
	tests := []struct {
		name   string
		body   string
		events int
		want   error
	}{
		{"complete stream", token + end, 2, io.EOF},
		{"events after the end", token + end + token, 2, io.EOF},
		{"comments and other fields", ": ping\nevent: x\n" + token + end, 2, io.EOF},
		{"end of another request before", otherEnd + token + end, 3, io.EOF},
		{"only the end of another request", token + otherEnd, 2, ErrBroken},
		{"truncated between events", token, 1, ErrBroken},
		{"truncated inside an event", token + end[:30], 1, ErrBroken},
		{"unknown event kind", token + `data: {"Kind":"Paint"}` + "\n", 1, ErrBroken},
		{"invalid JSON", "data: [DONE]\n", 0, ErrBroken},
		{"event too long", "data: " + strings.Repeat("x", maxEventBytes+1), 0, ErrBroken},
		{"empty stream", "", 0, ErrBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newStream("a", io.NopCloser(strings.NewReader(tt.body)))
			events := 0
			var err error
			for err == nil {
				_, err = s.Next()
				if err == nil {
					events++
				}
			}
			is.Equal(events, tt.events)
			is.True(errors.Is(err, tt.want))
			_, again := s.Next()
			is.True(errors.Is(again, tt.want))
		})
	}
}
