package delivery

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Next returns the position of the first token not yet delivered.
func (d *Delivery) Next() uint64 {
	return d.next
}

// Generation returns the bound generation, or the zero value before the first
// frame.
func (d *Delivery) Generation() Generation {
	return d.bound
}

// Finished reports whether the end was accepted.
func (d *Delivery) Finished() bool {
	return d.finished
}

// reject checks the identity of a frame and binds the first generation. It
// returns zero for a frame of this answer.
func (d *Delivery) reject(f *message.Frame) RejectReason {
	if f.GetRequestId() != d.RequestID {
		return OtherRequest
	}
	if f.GetBody() == nil {
		return Malformed
	}
	if d.skipGenerationCheck {
		return 0
	}
	generation := GenerationOf(f.GetGeneration())
	if generation.Sequence == 0 {
		return rejectUnidentified(f)
	}
	if d.bound.IsZero() {
		return d.bind(generation, f)
	}
	if generation != d.bound {
		return OtherGeneration
	}
	return 0
}

// rejectUnidentified lets a refusal pass: a refused request has no generation,
// so its frame names the owner at most, and no sequence. The stream that it arrived on tells which attempt it answers.
func rejectUnidentified(f *message.Frame) RejectReason {
	if f.GetRefusal() != nil {
		return 0
	}
	return Malformed
}

// bind accepts the generation unless it was abandoned. A refusal binds none.
func (d *Delivery) bind(generation Generation, f *message.Frame) RejectReason {
	if slices.Contains(d.abandoned, generation) {
		return OtherGeneration
	}
	if f.GetRefusal() == nil {
		d.bound = generation
	}
	return 0
}
