// Package intake bounds what all callers together make a process hold: their connections, the heads and bodies
// that are being read, and the requests that were read and are being handled. What finds no room is refused
// before it is read. What stalls short of its end gives way to others; a request that was read whole never
// does. Servers have a bound of their own, see package heldbytes.
package intake

import (
	"context"
	"math"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	kilobyte = 1 << 10
	// SmallBytes is the size up to which a head or a body takes memory without a wait. The number of
	// connections bounds the sum.
	SmallBytes = 4 * kilobyte
	// LargeBytes is the size above which a body counts as large.
	LargeBytes = 64 * kilobyte
	// HandledBytes is the memory that a request takes while it is handled, beside its head and body.
	HandledBytes = 12 * kilobyte
	// waitMillis is the time for which a request waits for room before it is refused.
	waitMillis = 1500
	// maxWaiting bounds the requests that wait for room, and maxWaitingLarge those with large bodies.
	maxWaiting, maxWaitingLarge = 256, 16
	// maxYielding is the number of connections that may be about to be closed while others are opened.
	maxYielding = 16
)

// Errors of requests and connections that find no room.
var (
	// ErrFull marks the error of a request that found no room.
	ErrFull = errors.New("callers make the process hold as much as they may")
	// ErrGaveWay marks the error of a request that was not read whole and has given way to others.
	ErrGaveWay = errors.New("request that was not complete gave way to others")
)

// Budget is what all callers together may make the process hold. It is safe for concurrent use. A nil Budget has no
// bound. Its exported fields are set before use.
type Budget struct {
	// MostBytes is the bound of the memory. Small pieces may exceed it, and so may a single large body.
	MostBytes int64
	// MostConnections is the bound of the connections; zero for none.
	MostConnections int
	// ConnectionBytes is the memory that an open connection takes without a request.
	ConnectionBytes int64

	// mu guards the fields below.
	mu sync.Mutex
	// use is what the holdings hold, and yielding the part of it that is about to be freed.
	use, yielding use
	// gaveWay is the number of requests and connections that have given way, and refused the number of
	// those that found no room.
	gaveWay, refused int64
	holdings         map[*Holding]struct{}
	// changes numbers the changes of stages.
	changes int64
	// fruitless says when it is of use again to look for what gives way.
	fruitless fruitless
	// waiting is the number of requests that wait for room, and waitingLarge the number of those with large
	// bodies.
	waiting, waitingLarge int
	// changed is closed when a waiting request must look again; nil while none waits.
	changed chan struct{}
}

// Holding is what one connection makes the process hold. Its methods are called by the goroutine that serves the
// connection, but for those of the budget. A nil Holding has no bound.
type Holding struct {
	budget     *Budget
	connection Connection
	// received is the number of bytes that were read from the connection.
	received atomic.Int64

	// The fields below are guarded by the mutex of the budget.

	stage stage
	// since is the number of the change to that stage.
	since int64
	// bytes is the memory beside that of the connection. large says that a large body is a part of it.
	bytes int64
	large bool
	// waiting says that the connection waits for room, so that it is not read, and waitsFor the stage that it
	// then reaches.
	waiting  bool
	waitsFor stage
	// seenBytes is what had been received at the last look, and seenAt the time since which no more was seen. That
	// of a new connection is the time at which it was opened.
	seenBytes int64
	seenAt    boottime.Instant
	// err is set once the holding has given way.
	err error
}

// Connection is the connection of a holding. The budget calls it with its mutex held, so that its methods neither
// block nor use the budget.
type Connection interface {
	// GiveWay ends what the connection does, so that its memory is freed soon.
	GiveWay()
	// HasUnread reports whether bytes have arrived that the process has not read.
	HasUnread() bool
}

// Open begins a holding for a new connection, which must be closed. It waits while too many connections are about to
// be closed. It returns false if there is no room.
func (b *Budget) Open(ctx context.Context, connection Connection) (*Holding, bool) {
	if b == nil {
		return nil, true
	}
	h := &Holding{budget: b, connection: connection}
	for {
		closed, ok := b.tryOpen(h)
		if closed == nil {
			return h, ok
		}
		if await(ctx, closed, waitMillis) != nil {
			return nil, false
		}
	}
}

// tryOpen begins a holding, and reports whether there is room. While too many connections are about to be closed, it
// returns a channel that is closed when it must be tried again.
func (b *Budget) tryOpen(h *Holding) (closed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottime.Now()
	for b.lacksForConnection() {
		if !b.makeRoom(nil, lack{connection: true}, now) {
			b.refused++
			return nil, false
		}
	}
	if b.use.connections >= b.connectionLimit()+maxYielding {
		return b.awaitChange(), false
	}
	if b.holdings == nil {
		b.holdings = make(map[*Holding]struct{})
	}
	b.holdings[h] = struct{}{}
	b.use.connections++
	b.use.bytes += b.ConnectionBytes
	h.seenAt = now
	h.setStage(head)
	return nil, true
}

// awaitChange returns a channel that is closed when something is freed. The caller holds the mutex.
func (b *Budget) awaitChange() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// lacksForConnection reports whether there is no room for a further connection once all that give way are
// closed. The caller holds the mutex.
func (b *Budget) lacksForConnection() bool {
	return b.use.connections-b.yielding.connections >= b.connectionLimit()
}

// connectionLimit returns the number of connections that may be open.
func (b *Budget) connectionLimit() int {
	limit := math.MaxInt32
	if b.MostConnections > 0 {
		limit = b.MostConnections
	}
	if b.ConnectionBytes > 0 {
		limit = min(limit, int(connectionShare.of(b.MostBytes)/b.ConnectionBytes))
	}
	return limit
}

// QueueBytes returns what callers may make the system hold on connections that are not accepted; zero for no bound.
func (b *Budget) QueueBytes() int64 {
	return queueShare.of(b.MostBytes)
}

// Begin says that the first byte of a request has come.
func (h *Holding) Begin() {
	h.force(head, SmallBytes)
}

// Receive says that bytes were read from the connection.
func (h *Holding) Receive(bytes int) {
	if h != nil {
		h.received.Add(int64(bytes))
	}
}

// Head takes the memory for a head that is being read.
func (h *Holding) Head(ctx context.Context, bytes int64) error {
	return h.take(ctx, claim{stage: head, bytes: bytes})
}

// End says that the request is over and the connection waits for the next one.
func (h *Holding) End() {
	h.force(idle, 0)
}

// Linger says that the request was refused, and that the connection is read only so that its caller gets the
// response.
func (h *Holding) Linger() {
	h.force(lingering, 0)
}

// Close ends the holding. It may be called again.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.holdings[h]; !open {
		return
	}
	h.set(claim{})
	h.change(use{connections: -1, bytes: -b.ConnectionBytes})
	delete(b.holdings, h)
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

// force takes memory without a wait.
func (h *Holding) force(s stage, bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.set(claim{stage: s, bytes: bytes})
}

// set sets what the holding holds. The caller holds the mutex.
func (h *Holding) set(want claim) {
	before := h.largeBytes()
	more := want.bytes - h.bytes
	h.bytes, h.large = want.bytes, want.large
	if h.stage != want.stage {
		h.setStage(want.stage)
	}
	h.change(use{bytes: more, largeBytes: h.largeBytes() - before})
}

// setStage sets the stage. The caller holds the mutex.
func (h *Holding) setStage(s stage) {
	b := h.budget
	b.changes++
	h.stage, h.since = s, b.changes
	if s == idle || s == lingering {
		b.fruitless.memoryUntil = 0 // it gives way at once
	}
}

// change changes what is in use. The caller holds the mutex.
func (h *Holding) change(by use) {
	b := h.budget
	b.use = b.use.add(by)
	if h.err != nil {
		b.yielding = b.yielding.add(by)
	}
	if by.bytes < 0 || by.connections < 0 {
		b.wake()
	}
}

// wake lets those that wait look again. The caller holds the mutex.
func (b *Budget) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
