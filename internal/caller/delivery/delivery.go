// Package delivery decides what a relay does with each frame of an answer, so
// that every token is delivered once, in order and from one generation only.
// It performs no I/O and reads no clock.
package delivery

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Errors of commands that would mix two generations in one answer.
var (
	// ErrDelivered means that tokens were delivered, so no other generation
	// may take over.
	ErrDelivered = errors.New("tokens were delivered")
	// ErrBound means that the answer is bound to a generation already.
	ErrBound = errors.New("a generation is bound")
	// ErrNoGeneration means that a resume names no generation.
	ErrNoGeneration = errors.New("no generation is named")
)

// Delivery follows one answer. It is not safe for concurrent use.
type Delivery struct {
	// RequestID is the only request whose frames are accepted. It is set
	// before the first call and never changes.
	RequestID string

	// bound is the only generation whose frames are accepted. It is zero
	// until the first frame arrives.
	bound Generation
	// next is the position of the first token not yet delivered. It grows
	// only, except that a discarded answer starts again at zero.
	next uint64
	// resumedFrom is the position that ResumeAt started from: the tokens before it
	// left an entry host earlier, so they can't be discarded.
	resumedFrom uint64
	// abandoned holds the generations that were discarded; none binds again.
	abandoned []Generation
	// finished is set by End; no token is delivered afterwards.
	finished bool
	// skipGenerationCheck switches the generation check off in tests that
	// show that the check is needed.
	skipGenerationCheck bool
}

// Accept decides what to do with one frame.
func (d *Delivery) Accept(f *message.Frame) Step {
	if reason := d.reject(f); reason != 0 {
		return Rejected{Reason: reason}
	}
	switch b := f.GetBody().(type) {
	case *message.Frame_Tokens:
		return d.acceptTokens(f.GetPosition(), b.Tokens.GetText())
	case *message.Frame_End:
		return d.acceptEnd(f.GetPosition(), b.End)
	case *message.Frame_Refusal:
		return d.acceptRefusal(b.Refusal)
	case *message.Frame_Heartbeat:
		return Alive{State: b.Heartbeat.GetState()}
	case *message.Frame_Admitted:
		return Admitted{QueueLength: b.Admitted.GetQueueLength()}
	default:
		return Rejected{Reason: Malformed}
	}
}

// Restart releases the bound generation while nothing was delivered, so that
// another one may bind.
func (d *Delivery) Restart() error {
	if d.next > 0 {
		return errors.Wrapf(ErrDelivered, "restart at position %d", d.next)
	}
	d.release()
	return nil
}

// Discard discards the tokens that the entry host has buffered and lets
// another generation bind. The caller of this method must hold a whole answer
// back: it is wrong once any token left the entry host.
func (d *Delivery) Discard() error {
	if d.resumedFrom > 0 {
		return errors.Wrapf(ErrDelivered, "discard after a resume at position %d", d.resumedFrom)
	}
	d.next = 0
	d.release()
	return nil
}

// ResumeAt continues an answer whose tokens before position were delivered
// earlier. It is allowed only before any frame was accepted.
func (d *Delivery) ResumeAt(generation Generation, position uint64) error {
	if generation.IsZero() {
		return ErrNoGeneration
	}
	if !d.bound.IsZero() || d.next > 0 {
		return errors.Wrapf(ErrBound, "resume at position %d", position)
	}
	d.bound = generation
	d.next = position
	d.resumedFrom = position
	return nil
}

func (d *Delivery) release() {
	if !d.bound.IsZero() {
		d.abandoned = append(d.abandoned, d.bound)
	}
	d.bound = Generation{}
	d.finished = false
}

func (d *Delivery) acceptTokens(position uint64, text []string) Step {
	if len(text) == 0 {
		return Duplicate{}
	}
	if position > d.next {
		return Gap{From: d.next}
	}
	skipped := d.next - position
	if skipped >= uint64(len(text)) {
		return Duplicate{}
	}
	if d.finished {
		return Rejected{Reason: AfterEnd}
	}
	step := Deliver{Position: d.next, Text: text[skipped:]}
	d.next += uint64(len(step.Text))
	return step
}

func (d *Delivery) acceptEnd(position uint64, end *message.End) Step {
	if d.finished {
		return Duplicate{}
	}
	if position > d.next {
		return Gap{From: d.next}
	}
	if position < d.next {
		return Rejected{Reason: Malformed}
	}
	d.finished = true
	return Ended{Code: end.GetCode(), Reason: end.GetReason()}
}

func (d *Delivery) acceptRefusal(r *message.Refusal) Step {
	if d.finished {
		return Duplicate{}
	}
	return Refused{
		Code:             r.GetCode(),
		Reason:           r.GetReason(),
		RetryAtUnixNanos: r.GetRetryAtUnixNanos(),
	}
}
