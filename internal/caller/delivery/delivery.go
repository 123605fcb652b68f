// Package delivery decides what an entry host does with each frame of an answer
// that it relays to a caller, so that every token is delivered once, in order and
// from one generation only. Package dispatch passes the frames to Delivery.Accept
// and carries out the Step that it returns. Package delivery does no I/O and does
// not depend on the time.
//
// A generation is one run of a request on a backend server. The process beside the
// backend server, its owner, sends the frames.
package delivery

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Errors of calls that would mix two generations in one answer.
var (
	// ErrDelivered means that tokens were already delivered, so that no other
	// generation may continue the answer.
	ErrDelivered = errors.New("tokens were delivered")
	// ErrBound means that the answer is already bound to a generation.
	ErrBound = errors.New("a generation is bound")
	// ErrNoGeneration means that a resume names no generation.
	ErrNoGeneration = errors.New("no generation is named")
)

// Delivery tracks the delivery of one answer. It is not safe for concurrent use.
type Delivery struct {
	// RequestID is the only request whose frames are accepted. It is set
	// before the first call and never changes.
	RequestID string

	// bound is the only generation whose frames are accepted. It is zero until
	// the first frame of a generation arrives, and after the generation was
	// released.
	bound Generation
	// next is the position of the first token not yet delivered. It never
	// decreases, except that a discarded answer starts again at zero.
	next uint64
	// resumedFrom is the position passed to ResumeAt. The tokens before it were
	// sent to the caller earlier, so they cannot be discarded.
	resumedFrom uint64
	// discarded holds the generations that were released; none is bound again.
	discarded []Generation
	// finished is set by an End frame; no token is delivered afterwards.
	finished bool
	// skipGenerationCheck disables the generation check in a test which shows
	// that the check is needed.
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

// Restart releases the bound generation if no token was delivered, so that another
// one may be bound.
func (d *Delivery) Restart() error {
	if d.next > 0 {
		return errors.Wrapf(ErrDelivered, "restart at position %d", d.next)
	}
	d.release()
	return nil
}

// Discard discards the delivered tokens and releases the bound generation, so that
// another one may be bound. It must be called only if the entry host buffers the
// whole answer and has sent no token of it to the caller.
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

// release unbinds the generation, which is never bound again.
func (d *Delivery) release() {
	if !d.bound.IsZero() {
		d.discarded = append(d.discarded, d.bound)
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
