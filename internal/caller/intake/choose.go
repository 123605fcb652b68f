package intake

import "github.com/fulmarvalve/fulmarvalve/internal/records/boottime"

const (
	// headStallMillis and bodyStallMillis are the times without a byte after which a head and a body give way to
	// others.
	headStallMillis = 250
	bodyStallMillis = 1000
	// smallRequestBytes is the size up to which a request that was read whole is a small one.
	smallRequestBytes = 2*SmallBytes + HandledBytes
	// maxUnreadLooks bounds the connections with unread bytes that are passed over when one is looked for that gives
	// way.
	maxUnreadLooks = 16
)

// share is a part of the memory.
type share struct{ numerator, divisor int64 }

// Shares of the memory, so that none of what they bound is in the way of small requests.
var (
	connectionShare = share{3, 4}
	largeShare      = share{3, 4}
	// otherShare bounds all but small requests.
	otherShare = share{7, 8}
	// queueShare bounds what the system holds of connections that are not accepted. It is beside the bound, as the
	// process may stand still while it holds as much as it may.
	queueShare = share{1, 4}
)

func (s share) of(bytes int64) int64 {
	return bytes * s.numerator / s.divisor
}

// stage is what a connection does.
type stage int

const (
	// lingering: the request was refused, and the rest of it is dropped.
	lingering stage = iota
	// idle: a request is over, and no byte of the next one has come.
	idle
	// head: the head of a request is being read, or the connection is new.
	head
	// body: the body of a request is being read, or waits to be.
	body
	// whole: the request was read whole.
	whole
)

// claim is what a holding is to hold.
type claim struct {
	stage stage
	bytes int64
	// large says that the body is a large one.
	large bool
}

// limit returns how much of the memory may be in use for the claim to find room.
func (c claim) limit(mostBytes int64) int64 {
	if c.stage == whole && c.bytes <= smallRequestBytes {
		return mostBytes
	}
	return otherShare.of(mostBytes)
}

// lack is what a claim, or a new connection, finds no room in.
type lack struct {
	// connection, memory and large stand for the connections, the whole memory, and the part for large bodies. For a
	// large body, memory is what all but large ones have in use beyond what is left to them: what is small does not
	// give way to it otherwise, as that would not help.
	connection, memory, large bool
	// whole says that the claim is that of a request that was read whole.
	whole bool
}

// any reports whether anything is lacking.
func (l lack) any() bool {
	return l.connection || l.memory || l.large
}

// lack returns what the holding lacks for a claim if some of what is in use were free. A large body is not in
// the way of itself: without any other one it always finds room.
func (b *Budget) lack(h *Holding, want claim, free use) lack {
	more := want.bytes - h.bytes
	if more <= 0 {
		return lack{}
	}
	l := lack{whole: want.stage == whole}
	total := b.use.bytes - free.bytes + more
	if want.large {
		others := b.use.largeBytes - free.largeBytes - h.largeBytes()
		if others <= 0 {
			return lack{}
		}
		beyond := max(0, others+want.bytes-largeShare.of(b.MostBytes))
		l.large = beyond > 0
		total -= beyond
	}
	l.memory = total > want.limit(b.MostBytes)
	return l
}

// largeBytes returns the part of the memory that is taken for a large body.
func (h *Holding) largeBytes() int64 {
	if h.large {
		return h.bytes
	}
	return 0
}

// yields reports whether the holding can give way to what lacks something. A new connection takes the place of
// one whose head is not complete, however old it is, and a request that was read whole that of one whose large head
// waits for room.
func (h *Holding) yields(to lack, now boottime.Instant) bool {
	if h.waiting && h.waitsFor != head || !h.wouldHelp(to) {
		return false
	}
	switch h.stage {
	case lingering, idle:
		return true
	case head:
		return to.connection || h.stalled(now) || h.waiting && to.whole
	case body:
		return h.stalled(now)
	case whole:
		return false
	}
	return false
}

// wouldHelp reports whether what lacks something would find more room without the holding.
func (h *Holding) wouldHelp(to lack) bool {
	return to.connection || to.memory || to.large && h.large
}

// noteUnread reports whether the holding does not give way after all, as bytes have arrived that the process has
// not read: it stood still, not the caller.
func (h *Holding) noteUnread(to lack, now boottime.Instant) bool {
	byAge := to.connection && h.stage == head
	awaitsBytes := h.stage == idle || h.mayStall() && !byAge
	if !awaitsBytes || !h.connection.HasUnread() {
		return false
	}
	h.seenAt = now
	if h.stage == idle {
		h.setStage(head)
	}
	return true
}

// stalled reports whether no byte of a head or a body has come for some time.
func (h *Holding) stalled(now boottime.Instant) bool {
	if received := h.received.Load(); received != h.seenBytes {
		h.seenBytes, h.seenAt = received, now
	}
	return h.mayStall() && !now.Before(h.stallsAt())
}

// mayStall reports whether a head or a body is being read.
func (h *Holding) mayStall() bool {
	return !h.waiting && (h.stage == head || h.stage == body)
}

// stallsAt returns the time from which on the head or the body has stalled, if no byte comes until then.
func (h *Holding) stallsAt() boottime.Instant {
	if h.stage == head {
		return h.seenAt.AddMillis(headStallMillis)
	}
	return h.seenAt.AddMillis(bodyStallMillis)
}

// yieldsBefore reports whether a holding gives way before another one: first what holds no request, then the
// head and at last the body that has been the same for longest.
func (h *Holding) yieldsBefore(other *Holding) bool {
	switch {
	case h.stage != other.stage:
		return h.stage < other.stage
	case h.stage == body:
		return h.seenAt.Before(other.seenAt)
	default:
		return h.since < other.since
	}
}

// findVictim returns the connection that is first to give way; nil if none can. It also returns a time before which
// none will have stalled.
func (b *Budget) findVictim(asking *Holding, lacking lack, now boottime.Instant) (victim *Holding, nextStallAt boottime.Instant) {
	// What begins later stalls later.
	nextStallAt = now.AddMillis(headStallMillis)
	for h := range b.holdings {
		switch {
		case h == asking || h.err != nil:
		case h.yields(lacking, now):
			if victim == nil || h.yieldsBefore(victim) {
				victim = h
			}
		case h.wouldHelp(lacking) && h.mayStall() && now.Before(h.stallsAt()):
			nextStallAt = min(nextStallAt, h.stallsAt())
		}
	}
	return victim, nextStallAt
}

// fruitless says before which times no request needs to look for what gives way, as none was found.
type fruitless struct {
	// memoryUntil is the time for a request that lacks memory, and largeUntil that for a large body that lacks only the
	// part for large ones.
	memoryUntil, largeUntil boottime.Instant
}

// until returns the time for what is lacking.
func (f fruitless) until(lacking lack) boottime.Instant {
	if lacking.memory {
		return f.memoryUntil
	}
	return f.largeUntil
}

// with returns f with the time for what is lacking.
func (f fruitless) with(lacking lack, until boottime.Instant) fruitless {
	switch {
	case lacking.memory:
		f.memoryUntil = until
	case lacking.large:
		f.largeUntil = until
	}
	return f
}
