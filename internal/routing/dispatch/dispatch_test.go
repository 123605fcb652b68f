package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const key = "0199-key"

func TestBrokenPathResumesByPosition(t *testing.T) {
	is := is.New(t)
	o := &owner{name: "a", incarnation: 7}
	o.script = append(o.script, o.send(2, "one", "two", "three"), o.send(0, "one", "two", "three"))
	o.serve(t)
	sink := &recordingSink{}
	result := runner(&picker{owners: []*owner{o}}, nil).
		Generate(context.Background(), Request{ID: "r1", Repeatable: true}, sink)
	is.Equal(result.Code, resultcode.OK)
	is.Equal(sink.text(), "one two three")
	is.Equal(sink.begun, 1)
	is.Equal(o.calls(), 2)
	is.Equal(o.requests[1].GetFromPosition(), uint64(2))
	is.Equal(o.requests[1].GetAttach().GetIncarnation(), uint64(7))
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	o := &owner{name: "a", incarnation: 7}
	stall := func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
		if err := out.Send(o.tokens(in, 0, "one")); err != nil {
			return err
		}
		<-out.Context().Done()
		return out.Context().Err()
	}
	o.script = append(o.script, stall, o.send(0, "one", "two"))
	o.serve(t)
	sink := &recordingSink{}
	result := runner(&picker{owners: []*owner{o}}, nil).
		Generate(context.Background(), Request{ID: "r1", Repeatable: true}, sink)
	is.Equal(result.Code, resultcode.OK)
	is.Equal(sink.text(), "one two")
}

func TestLostGeneration(t *testing.T) {
	tests := []struct {
		name      string
		give      Request
		wantCode  resultcode.Code
		wantText  string
		wantBegun int
	}{
		{
			name:      "a stream never continues with another generation",
			give:      Request{ID: "r1", Repeatable: true},
			wantCode:  resultcode.GenerationLost,
			wantText:  "one",
			wantBegun: 1,
		},
		{
			name:      "a buffered answer to an idempotent request is generated again",
			give:      Request{ID: "r1", Repeatable: true, Whole: true},
			wantCode:  resultcode.OK,
			wantText:  "other answer",
			wantBegun: 2,
		},
		{
			name:      "a buffered answer to a non-idempotent request has an unknown outcome",
			give:      Request{ID: "r1", Whole: true, Key: key},
			wantCode:  resultcode.GenerationLost,
			wantText:  "one",
			wantBegun: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lost := &owner{name: "a", incarnation: 7}
			lost.script = append(lost.script, lost.send(1, "one", "two"), lost.refuse(resultcode.NotHeld, false))
			lost.serve(t)
			other := &owner{name: "b", incarnation: 8}
			other.script = append(other.script, other.send(0, "other", "answer"))
			other.serve(t)
			sink := &recordingSink{}
			result := runner(&picker{owners: []*owner{lost, other}}, &claimer{}).
				Generate(context.Background(), tt.give, sink)
			is.Equal(result.Code, tt.wantCode)
			is.Equal(sink.text(), tt.wantText)
			is.Equal(sink.begun, tt.wantBegun)
		})
	}
}

// TestKeyIsReboundOnlyAfterRecordedRefusal checks that a refused non-idempotent
// request goes to another owner only if the first owner has recorded that it will
// never run the request.
func TestKeyIsReboundOnlyAfterRecordedRefusal(t *testing.T) {
	tests := []struct {
		name string
		// script sets the script of the first owner; the second one always answers.
		script   func(*owner)
		wantCode resultcode.Code
		// wantClaims is the number of claims; two mean that the key was rebound.
		wantClaims int
	}{
		{
			name:       "recorded",
			script:     func(o *owner) { o.script = append(o.script, o.refuse(resultcode.QueueFull, true)) },
			wantCode:   resultcode.OK,
			wantClaims: 2,
		},
		{
			name:       "without a record",
			script:     func(o *owner) { o.script = append(o.script, o.refuse(resultcode.QueueFull, false)) },
			wantCode:   resultcode.OwnerSilent,
			wantClaims: 1,
		},
		{
			name: "by another incarnation",
			script: func(o *owner) {
				successor := &owner{name: o.name, incarnation: o.incarnation + 1}
				o.script = append(o.script, successor.refuse(resultcode.NotOwner, true))
			},
			wantCode:   resultcode.KeySpent,
			wantClaims: 1,
		},
		{
			name: "not reached",
			script: func(o *owner) {
				o.script = append(o.script, o.send(0, "unused"))
				o.address = "127.0.0.1:1"
			},
			wantCode:   resultcode.OwnerSilent,
			wantClaims: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := &owner{name: "a", incarnation: 7}
			first.serve(t)
			tt.script(first)
			second := &owner{name: "b", incarnation: 8}
			second.script = append(second.script, second.send(0, "answer"))
			second.serve(t)
			claims := &claimer{}
			result := runner(&picker{owners: []*owner{first, second}}, claims).
				Generate(context.Background(), Request{ID: "r1", Key: key}, &recordingSink{})
			is.Equal(result.Code, tt.wantCode)
			is.Equal(len(claims.claims), tt.wantClaims)
			if tt.wantClaims == 1 {
				is.Equal(second.calls(), 0)
			}
		})
	}
}

func TestSecondCallerFollowsTheBinding(t *testing.T) {
	is := is.New(t)
	bound := &owner{name: "b", incarnation: 8}
	bound.script = append(bound.script, bound.send(0, "the", "answer"))
	bound.serve(t)
	other := &owner{name: "a", incarnation: 7}
	other.script = append(other.script, other.send(0, "double"))
	other.serve(t)
	claims := &claimer{permit: &message.Permit{Backend: "b", Incarnation: 8, RequestId: "first"}}
	sink := &recordingSink{}
	result := runner(&picker{owners: []*owner{other, bound}}, claims).
		Generate(context.Background(), Request{ID: "second", Key: key}, sink)
	is.Equal(result.Code, resultcode.OK)
	is.Equal(sink.text(), "the answer")
	is.Equal(bound.requests[0].GetRequestId(), "first")
	is.Equal(other.calls(), 0)
}

func TestRefusalWithoutOtherServerCarriesRetryAt(t *testing.T) {
	is := is.New(t)
	full := &owner{name: "a", incarnation: 7}
	full.script = append(full.script, full.refuse(resultcode.QueueFull, false))
	full.serve(t)
	result := runner(&picker{owners: []*owner{full}}, nil).
		Generate(context.Background(), Request{ID: "r1", Repeatable: true}, &recordingSink{})
	is.Equal(result.Code, resultcode.QueueFull)
	is.True(!result.RetryAt.IsZero())
	is.Equal(full.calls(), 1)
}

// TestRequestThatFailsEnginesIsNotSentToEach guards against a request that crashes the engine
// that begins to answer it, and is sent to one after the other.
func TestRequestThatFailsEnginesIsNotSentToEach(t *testing.T) {
	is := is.New(t)
	var owners []*owner
	for n := range 4 {
		o := &owner{name: string(rune('a' + n)), incarnation: 7}
		o.script = append(o.script, o.refuse(resultcode.EngineFailed, false))
		o.serve(t)
		owners = append(owners, o)
	}
	result := runner(&picker{owners: owners}, nil).
		Generate(context.Background(), Request{ID: "r1", Repeatable: true}, &recordingSink{})
	is.Equal(result.Code, resultcode.EngineFailed)
	calls := 0
	for _, o := range owners {
		calls += o.calls()
	}
	is.Equal(calls, maxEngineFailures)
}

// TestHeartbeatsKeepSlowCallAlive checks that a plain service may take longer than
// the progress deadline while its owner sends heartbeats.
func TestHeartbeatsKeepSlowCallAlive(t *testing.T) {
	is := is.New(t)
	o := &owner{name: "a", incarnation: 7, heartbeats: 8}
	o.serve(t)
	reply, result := runner(&picker{owners: []*owner{o}}, nil).
		Call(context.Background(), Call{ID: "c1", Repeatable: true})
	is.Equal(result.Code, resultcode.OK)
	is.Equal(reply.Status, 200)
}
