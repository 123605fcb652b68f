package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// TestNotRunOnlyWhenNothingRan checks that the outcome of a request stays unknown
// if one attempt may have run, even if the last attempt did not run.
func TestNotRunOnlyWhenNothingRan(t *testing.T) {
	broken := func(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
		return context.Canceled
	}
	tests := []struct {
		name string
		// script sets the script of the first owner; the second one refuses.
		script func(*owner)
		whole  bool
	}{
		{
			name: "generation lost after tokens, then refused",
			script: func(o *owner) {
				o.script = append(o.script, o.send(1, "one", "two"), o.refuse(resultcode.NotHeld, false))
			},
			whole: true,
		},
		{
			name: "engine failed, then refused",
			script: func(o *owner) {
				o.script = append(o.script, func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
					f := o.end(in, 0)
					f.GetEnd().Code = uint32(resultcode.EngineFailed)
					return out.Send(f)
				})
			},
		},
		{
			name: "path broke before the first frame, then refused",
			script: func(o *owner) {
				o.script = append(o.script, broken, o.refuse(resultcode.QueueFull, false))
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := &owner{name: "a", incarnation: 7}
			tt.script(first)
			first.serve(t)
			second := &owner{name: "b", incarnation: 8}
			second.script = append(second.script, second.refuse(resultcode.QueueFull, false))
			second.serve(t)
			result := runner(&picker{owners: []*owner{first, second}}, nil).
				Generate(context.Background(), Request{ID: "r1", Repeatable: true, Whole: tt.whole}, &recordingSink{})
			is.Equal(result.Code.Info().Outcome, resultcode.Unknown)
			is.Equal(second.calls(), 1)
		})
	}
}

// TestDeadlineAfterLossIsUnknown checks that the outcome is unknown if the
// deadline passes between two attempts and the first one may have run.
func TestDeadlineAfterLossIsUnknown(t *testing.T) {
	is := is.New(t)
	lost := &owner{name: "a", incarnation: 7}
	deadline := time.Now().Add(150 * time.Millisecond)
	lost.script = append(lost.script, func(in *message.GenerateRequest, out message.DRPCBackend_GenerateStream) error {
		time.Sleep(time.Until(deadline.Add(-20 * time.Millisecond)))
		f := lost.end(in, 0)
		f.GetEnd().Code = uint32(resultcode.EngineFailed)
		return out.Send(f)
	})
	lost.serve(t)
	p := &latePicker{picker: picker{owners: []*owner{lost}}, at: deadline.Add(time.Millisecond)}
	r := runner(nil, nil)
	r.Picker = p
	result := r.Generate(context.Background(), Request{ID: "r1", Repeatable: true, Deadline: deadline}, &recordingSink{})
	is.Equal(result.Code.Info().Outcome, resultcode.Unknown)
}

// latePicker delays every retry until at.
type latePicker struct {
	picker
	at time.Time
}

func (p *latePicker) Retry(retrybudget.Attempt, time.Time) retrybudget.Decision {
	return retrybudget.Retry{At: p.at}
}

// TestRepeatableCallIsRetriedOnSameOwner checks that an idempotent call that got
// no reply is sent again on a new connection to the same owner if there is no
// other one.
func TestRepeatableCallIsRetriedOnSameOwner(t *testing.T) {
	is := is.New(t)
	o := &owner{name: "a", incarnation: 7, unansweredCalls: 1}
	o.serve(t)
	reply, result := runner(&picker{owners: []*owner{o}}, nil).
		Call(context.Background(), Call{ID: "r1", Service: "front-desk", Repeatable: true})
	is.Equal(result.Code, resultcode.OK)
	is.Equal(reply.Status, 200)
}
