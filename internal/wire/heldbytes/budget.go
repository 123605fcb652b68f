// Package heldbytes bounds the memory that all servers together make a process hold: the bytes of heads,
// bodies and events that are not complete yet, and of those that are not yet passed on. A server may send
// bytes without end. When the memory is used up, the piece that most looks as if it had no end gives way,
// whoever asks for memory then; see Piece. Small pieces are never in its way, and those that are complete
// do not give way.
package heldbytes

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// smallBytes is the size up to which a piece takes memory without a wait and does not give way.
	smallBytes = 4 * kilobyte
	// waitShare is the part of the memory, as a divisor, that complete parts must hold for others to wait
	// until they were passed on.
	waitShare = 4
)

// ErrGaveWay marks the error of a piece that has given way to others.
var ErrGaveWay = errors.New("bytes without an end in sight gave way to other answers")

// gaveWayError says what a piece was like when it gave way.
type gaveWayError struct {
	piece Piece
	now   boottime.Instant
}

// Error returns a text with the size and the age of the piece.
func (e *gaveWayError) Error() string {
	return fmt.Sprintf("%d bytes held without an end, %d are usual, begun %d ms before",
		e.piece.Bytes, e.piece.UsualBytes, e.now.MillisSince(e.piece.BegunAt))
}

// kind is a kind of parts with similar sizes.
type kind struct {
	name string
	part Part
}

// Budget is the memory that all servers together may make the process hold. It is safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	// MostBytes is the bound. It is set before use. Small pieces may exceed it.
	MostBytes int64

	// mu guards the fields below.
	mu sync.Mutex
	// usedBytes is the sum of what the holdings hold.
	usedBytes int64
	// yieldingBytes is the part of usedBytes of holdings that have given way and are about to be closed.
	yieldingBytes int64
	// keptBytes is the part of usedBytes of complete parts.
	keptBytes int64
	// gaveWay is the number of pieces that have given way.
	gaveWay  int64
	holdings map[*Holding]struct{}
	// largest holds the size of the largest complete part of each kind.
	largest map[kind]int64
	// changed is closed when a waiting holding must look again; nil while none waits.
	changed chan struct{}
}

// Holding is what one exchange with a server makes the process hold. It is safe for concurrent use, but only
// one goroutine lets it grow. A nil Holding has no bound.
type Holding struct {
	budget *Budget
	name   string
	// giveWay ends the exchange, so that the holding is closed soon. It does not block.
	giveWay func()

	// The fields below are guarded by the mutex of the budget.

	// keptBytes is the memory of complete parts.
	keptBytes int64
	// part and piece are the part that is being received.
	part  Part
	piece Piece
	// err is set once the piece has given way.
	err error
}

// Open begins a holding, which must be closed. The name tells which sizes are usual.
func (b *Budget) Open(name string, giveWay func()) *Holding {
	if b == nil {
		return nil
	}
	h := &Holding{budget: b, name: name, giveWay: giveWay}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holdings == nil {
		b.holdings = make(map[*Holding]struct{})
	}
	b.holdings[h] = struct{}{}
	return h
}

// Usage is the use of a budget.
type Usage struct {
	// UsedBytes is the memory that is held, and MostBytes its bound.
	UsedBytes int64
	MostBytes int64
	// GaveWay is the number of pieces that have given way to others since the process started.
	GaveWay int64
}

// Usage returns the use of the budget; nothing for a nil Budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{UsedBytes: b.usedBytes, MostBytes: b.MostBytes, GaveWay: b.gaveWay}
}

// UsedBytes returns the memory that is held.
func (b *Budget) UsedBytes() int64 {
	return b.Usage().UsedBytes
}

// Expect says which part comes next, and its length; negative if that was not declared.
func (h *Holding) Expect(part Part, length int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.part = part
	h.piece.Declared = length >= 0
	h.piece.UsualBytes = part.usualBytes(h.budget.largest[kind{h.name, part}])
}

// Grow takes the memory for a piece that has a new size. It waits while those that give way still hold
// theirs. Its error is marked with ErrGaveWay if this piece gives way, otherwise it is that of ctx.
func (h *Holding) Grow(ctx context.Context, bytes int64) error {
	if h == nil {
		return nil
	}
	for {
		changed, err := h.tryGrow(bytes)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// tryGrow takes the memory for a piece, or returns a channel that is closed when it must be tried again.
func (h *Holding) tryGrow(bytes int64) (<-chan struct{}, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.err != nil {
		return nil, h.err
	}
	more := bytes - h.piece.Bytes
	if h.piece.Bytes == 0 {
		h.piece.BegunAt = boottime.Now()
	}
	if more <= 0 || bytes <= smallBytes || b.usedBytes+more <= b.MostBytes {
		h.setPiece(bytes)
		return nil, nil
	}
	for h.err == nil && b.usedBytes-b.yieldingBytes+more > b.MostBytes && b.makeRoom(h, bytes) {
	}
	if h.err != nil {
		return nil, h.err
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed, nil
}

// makeRoom makes a piece give way: that of the asking holding, with its new size, or of another one. It
// returns false if none has to, as much of the memory is held by parts that are complete and are being passed
// on. The caller holds the mutex.
func (b *Budget) makeRoom(asking *Holding, bytes int64) bool {
	victim, first := asking, asking.piece
	first.Bytes = bytes
	for h := range b.holdings {
		if h != asking && h.err == nil && h.piece.Bytes > smallBytes && h.piece.yieldsBefore(first) {
			victim, first = h, h.piece
		}
	}
	if !first.isUnusual() && bytes <= b.MostBytes && b.keptBytes >= b.MostBytes/waitShare {
		return false
	}
	victim.err = errors.Mark(&gaveWayError{piece: first, now: boottime.Now()}, ErrGaveWay)
	b.yieldingBytes += victim.heldBytes()
	b.gaveWay++
	victim.giveWay()
	b.wake()
	return true
}

// Complete records that the piece is complete. What is still held of it counts until the holding is
// closed, or until the next call.
func (h *Holding) Complete(held int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.largest == nil {
		b.largest = make(map[kind]int64)
	}
	k := kind{h.name, h.part}
	b.largest[k] = max(b.largest[k], h.piece.Bytes)
	h.setPiece(0)
	h.keep(held)
}

// Keep changes the memory of complete parts.
func (h *Holding) Keep(held int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.keep(held)
}

// Err returns an error that is marked with ErrGaveWay if the holding has given way.
func (h *Holding) Err() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.err
}

// Close ends the holding. It may be called again.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.setPiece(0)
	h.keep(0)
	delete(h.budget.holdings, h)
}

// heldBytes returns all that is held. The caller holds the mutex of the budget.
func (h *Holding) heldBytes() int64 {
	return h.keptBytes + h.piece.Bytes
}

// keep sets the memory of complete parts. The caller holds the mutex of the budget.
func (h *Holding) keep(bytes int64) {
	h.budget.keptBytes += bytes - h.keptBytes
	h.use(bytes - h.keptBytes)
	h.keptBytes = bytes
}

// setPiece sets the size of the piece. The caller holds the mutex of the budget.
func (h *Holding) setPiece(bytes int64) {
	h.use(bytes - h.piece.Bytes)
	h.piece.Bytes = bytes
}

// use changes the memory that is in use. The caller holds the mutex of the budget.
func (h *Holding) use(more int64) {
	b := h.budget
	b.usedBytes += more
	if h.err != nil {
		b.yieldingBytes += more
	}
	if more < 0 {
		b.wake()
	}
}

// wake lets the waiting holdings look again. The caller holds the mutex.
func (b *Budget) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
