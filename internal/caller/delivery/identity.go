package delivery

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Next returns the position of the first token not yet delivered.
func (d *Delivery) Next() uint64 {
	return d.next
}

// Generation returns the bound generation, or the zero value if none is bound.
func (d *Delivery) Generation() Generation {
	return d.bound
}

// Finished reports whether the End frame was accepted.
func (d *Delivery) Finished() bool {
	return d.finished
}

// reject checks the request and generation of a frame. If no generation is bound,
// it binds that of the frame. It returns the reason to reject the frame, or zero to
// accept it.
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

// rejectUnidentified rejects a frame without a generation sequence unless it is a
// refusal. A refused request has no generation, so a refusal names at most the
// owner. The stream on which the refusal arrives identifies the refused attempt.
func rejectUnidentified(f *message.Frame) RejectReason {
	if f.GetRefusal() != nil {
		return 0
	}
	return Malformed
}

// bind binds the generation of a frame unless it was discarded. A refusal binds
// none.
func (d *Delivery) bind(generation Generation, f *message.Frame) RejectReason {
	if slices.Contains(d.discarded, generation) {
		return OtherGeneration
	}
	if f.GetRefusal() == nil {
		d.bound = generation
	}
	return 0
}
