package heldbytes

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstBytes is the size of the first piece in which a body is read.
	firstBytes = 4 * kilobyte
	// growthDivisor is the part, as a divisor, by which the memory of a body grows.
	growthDivisor = 4
)

// ErrTooLarge says that a body is longer than it may be.
var ErrTooLarge = errors.New("body is too large")

// BodyLimits says how a body is read whole.
type BodyLimits struct {
	// MostBytes is the longest body. A longer one is an error that is marked with ErrTooLarge.
	MostBytes int64
	// Length is the declared length; negative for none.
	Length int64
	// Weight is the memory that a byte takes until the body was decoded; zero counts as one.
	Weight int64
	// KeptBytes is the memory that the holding keeps beside the body.
	KeptBytes int64
}

// ReadAll reads a body whole as the given part. Its memory counts until the holding is closed.
func (h *Holding) ReadAll(ctx context.Context, body io.Reader, part Part, limits BodyLimits) ([]byte, error) {
	weight := max(limits.Weight, 1)
	h.Expect(part, limits.Length)
	var data []byte
	for {
		if len(data) == cap(data) {
			size := nextSize(cap(data), limits)
			if err := h.Grow(ctx, int64(size)*weight); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limits.MostBytes:
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limits.MostBytes)
		case errors.Is(err, io.EOF):
			h.Complete(limits.KeptBytes + int64(cap(data))*weight)
			return data, nil
		case err != nil:
			if gaveWay := h.Err(); gaveWay != nil {
				return nil, gaveWay
			}
			return nil, err
		}
	}
}

// nextSize returns the memory for a body that has filled the given one. One byte more than may be read
// is, as the end of the body is, or a byte too many.
func nextSize(size int, limits BodyLimits) int {
	next := min(max(size+size/growthDivisor, size+firstBytes), int(limits.MostBytes)+1)
	if limits.Length >= int64(size) {
		next = min(next, int(limits.Length)+1)
	}
	return max(next, size+1)
}
