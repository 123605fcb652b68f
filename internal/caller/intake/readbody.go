package intake

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// firstBodyBytes is the size of the first part of a body without a declared length.
const firstBodyBytes = 2 * kilobyte

// ErrTooLarge marks the error of a body that is longer than it may be.
var ErrTooLarge = errors.New("request body is too large")

// BodyLimits says how a body is read whole.
type BodyLimits struct {
	// MostBytes is the longest body.
	MostBytes int64
	// Length is the declared length; negative for none.
	Length int64
	// HeadBytes is the memory that the head of the request takes.
	HeadBytes int64
	// Weight is the memory that a byte of the body takes while the request is read and handled; zero counts as one.
	Weight int64
	// Begin is called when there is room for the beginning of a body that may not be empty, before it is read; nil for
	// nothing.
	Begin func() error
	// Large is called when there is room for a large body, or for more of it, before that is read; nil for nothing.
	Large func()
}

// held returns the memory of a request with a body of a size.
func (l BodyLimits) held(bytes int64) int64 {
	return l.HeadBytes + bytes*max(l.Weight, 1)
}

// ReadRequest reads the body of a request whole and takes the memory for its handling, which counts until End. The
// memory for a part of the body is taken before the part is read. An error is marked with ErrTooLarge, ErrFull or
// ErrGaveWay if it is of that kind; the request then never runs.
func (h *Holding) ReadRequest(ctx context.Context, body io.Reader, limits BodyLimits) ([]byte, error) {
	data, err := h.readBody(ctx, body, limits)
	if gaveWay := h.Err(); gaveWay != nil {
		return nil, gaveWay
	}
	if err != nil {
		return nil, err
	}
	if h == nil {
		return data, nil
	}
	held := limits.held(int64(cap(data))) + HandledBytes
	return data, h.take(ctx, claim{stage: whole, bytes: held, large: h.large})
}

func (h *Holding) readBody(ctx context.Context, body io.Reader, limits BodyLimits) ([]byte, error) {
	if limits.Length > limits.MostBytes {
		return nil, errors.Mark(errors.Newf("%d bytes, at most %d", limits.Length, limits.MostBytes), ErrTooLarge)
	}
	size := limits.Length
	if size < 0 {
		size = firstBodyBytes
	}
	if err := h.makeRoomForBody(ctx, limits, size, 0); err != nil {
		return nil, err
	}
	if size > 0 && limits.Begin != nil {
		if err := limits.Begin(); err != nil {
			return nil, err
		}
	}
	data := make([]byte, size)
	if limits.Length < 0 {
		return h.readChunks(ctx, body, data, limits)
	}
	_, err := io.ReadFull(body, data)
	return data, err
}

// readChunks reads a body without a declared length into a buffer, which grows with it.
func (h *Holding) readChunks(ctx context.Context, body io.Reader, buffer []byte, limits BodyLimits) ([]byte, error) {
	read := 0
	for {
		if read == len(buffer) {
			// One byte more than may be read shows the end of the body, or that it is too long.
			size := min(2*int64(len(buffer)), limits.MostBytes+1)
			// Both are held while one is copied to the other.
			if err := h.makeRoomForBody(ctx, limits, size, int64(len(buffer))); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)[:size]
		}
		n, err := body.Read(buffer[read:])
		read += n
		switch {
		case int64(read) > limits.MostBytes:
			return nil, errors.Mark(errors.Newf("more than %d bytes", limits.MostBytes), ErrTooLarge)
		case errors.Is(err, io.EOF):
			return buffer[:read], nil
		case err != nil:
			return nil, err
		}
	}
}

// makeRoomForBody takes the memory for a body of a size, and for a moment that of the buffer that it is copied from.
func (h *Holding) makeRoomForBody(ctx context.Context, limits BodyLimits, size, copied int64) error {
	if copied > 0 {
		if err := h.body(ctx, limits.held(size)+copied, size); err != nil {
			return err
		}
	}
	if err := h.body(ctx, limits.held(size), size); err != nil {
		return err
	}
	if size > LargeBytes && limits.Large != nil {
		limits.Large()
	}
	return nil
}

// body takes the memory for a request whose body is being read: bytes in all, size of them for the body.
func (h *Holding) body(ctx context.Context, bytes, size int64) error {
	switch {
	case bytes <= SmallBytes:
		h.force(body, bytes)
		return h.Err()
	case size <= LargeBytes:
		return h.take(ctx, claim{stage: body, bytes: bytes})
	default:
		// It needs no more when it was read.
		return h.take(ctx, claim{stage: body, bytes: bytes + HandledBytes, large: true})
	}
}
