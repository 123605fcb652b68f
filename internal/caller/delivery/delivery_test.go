package delivery

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

var (
	first  = Generation{Backend: "draft-1", Incarnation: 7, Sequence: 1}
	second = Generation{Backend: "draft-2", Incarnation: 8, Sequence: 1}
)

func tokens(request string, g Generation, position uint64, text ...string) *message.Frame {
	return &message.Frame{
		RequestId:  request,
		Generation: g.Message(),
		Position:   position,
		Body:       &message.Frame_Tokens{Tokens: &message.Tokens{Text: text}},
	}
}

func end(request string, g Generation, position uint64) *message.Frame {
	return &message.Frame{
		RequestId:  request,
		Generation: g.Message(),
		Position:   position,
		Body:       &message.Frame_End{End: &message.End{Code: 1, Reason: "stop"}},
	}
}

// ownerOf returns a wire message that names only the process of a generation, as
// in refusals.
func ownerOf(g Generation) *message.Generation {
	g.Sequence = 0
	return g.Message()
}

func TestAccept(t *testing.T) {
	refusal := &message.Frame_Refusal{Refusal: &message.Refusal{Code: 4, Reason: "full", RetryAtUnixNanos: 9}}
	heartbeat := &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
		State: message.GenerationState_GENERATION_STATE_PREEMPTED,
	}}
	// Each case starts after tokens 0 and 1 of the first generation were delivered.
	tests := []struct {
		name string
		give *message.Frame
		want Step
	}{
		{"next", tokens("r", first, 2, "c"), Deliver{Position: 2, Text: []string{"c"}}},
		{"overlap", tokens("r", first, 1, "b", "c"), Deliver{Position: 2, Text: []string{"c"}}},
		{"duplicate", tokens("r", first, 0, "a", "b"), Duplicate{}},
		{"gap", tokens("r", first, 3, "d"), Gap{From: 2}},
		{"other request", tokens("q", first, 2, "c"), Rejected{Reason: OtherRequest}},
		{"other generation", tokens("r", second, 2, "c"), Rejected{Reason: OtherGeneration}},
		{"no generation", tokens("r", Generation{}, 2, "c"), Rejected{Reason: Malformed}},
		{"no body", &message.Frame{RequestId: "r", Generation: first.Message()}, Rejected{Reason: Malformed}},
		{"end", end("r", first, 2), Ended{Code: 1, Reason: "stop"}},
		{"end with gap", end("r", first, 3), Gap{From: 2}},
		{"end before delivered tokens", end("r", first, 1), Rejected{Reason: Malformed}},
		{
			"refusal",
			&message.Frame{RequestId: "r", Body: refusal},
			Refused{Code: 4, Reason: "full", RetryAtUnixNanos: 9},
		},
		{
			"refusal of the owner that names no sequence",
			&message.Frame{RequestId: "r", Generation: ownerOf(first), Body: refusal},
			Refused{Code: 4, Reason: "full", RetryAtUnixNanos: 9},
		},
		{
			"refusal of a later incarnation",
			&message.Frame{RequestId: "r", Generation: ownerOf(second), Body: refusal},
			Refused{Code: 4, Reason: "full", RetryAtUnixNanos: 9},
		},
		{"refusal of another generation", &message.Frame{RequestId: "r", Generation: second.Message(), Body: refusal}, Rejected{Reason: OtherGeneration}},
		{"tokens without sequence", tokens("r", Generation{Backend: "draft-1", Incarnation: 7}, 2, "c"), Rejected{Reason: Malformed}},
		{
			"heartbeat",
			&message.Frame{RequestId: "r", Generation: first.Message(), Body: heartbeat},
			Alive{State: message.GenerationState_GENERATION_STATE_PREEMPTED},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := Delivery{RequestID: "r"}
			is.Equal(d.Accept(tokens("r", first, 0, "a", "b")), Deliver{Text: []string{"a", "b"}})
			is.Equal(d.Accept(tt.give), tt.want)
			is.Equal(d.Generation(), first)
		})
	}
}

func TestRestart(t *testing.T) {
	is := is.New(t)
	d := Delivery{RequestID: "r"}
	is.Equal(d.Accept(tokens("r", first, 1, "b")), Gap{From: 0})
	is.NoErr(d.Restart())
	is.Equal(d.Accept(tokens("r", first, 0, "a")), Rejected{Reason: OtherGeneration}) // released by Restart
	is.Equal(d.Accept(tokens("r", second, 0, "x")), Deliver{Text: []string{"x"}})
	is.True(errors.Is(d.Restart(), ErrDelivered))
	is.NoErr(d.Discard())
	is.Equal(d.Next(), uint64(0))
	is.Equal(d.Accept(tokens("r", second, 0, "x")), Rejected{Reason: OtherGeneration})
}

func TestResumeAt(t *testing.T) {
	is := is.New(t)
	d := Delivery{RequestID: "r"}
	is.True(errors.Is(d.ResumeAt(Generation{}, 2), ErrNoGeneration))
	is.NoErr(d.ResumeAt(first, 2))
	is.True(errors.Is(d.ResumeAt(second, 0), ErrBound))
	is.True(errors.Is(d.Discard(), ErrDelivered))
	is.Equal(d.Accept(tokens("r", second, 2, "c")), Rejected{Reason: OtherGeneration})
	is.Equal(d.Accept(tokens("r", first, 0, "a", "b", "c")), Deliver{Position: 2, Text: []string{"c"}})
}

func BenchmarkAccept(b *testing.B) {
	d := Delivery{RequestID: "r"}
	f := tokens("r", first, 0, "a", "b")
	b.ReportAllocs()
	for b.Loop() {
		f.Position = d.Next()
		d.Accept(f)
	}
}
