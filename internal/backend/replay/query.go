package replay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Find returns the entry of a request. It returns false if the buffer does not hold
// the ID.
func (b *Buffer) Find(id string) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[id]
	if !ok {
		return Entry{}, false
	}
	return r.entry(), true
}

// Read returns the tokens that are available from a position on, without waiting.
func (b *Buffer) Read(id string, from uint64) (Chunk, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[id]
	if !ok {
		return Chunk{}, errors.Wrapf(ErrUnknown, "request %s", id)
	}
	if _, evicted := r.state.(Evicted); evicted {
		return Chunk{}, errors.Wrapf(ErrEvicted, "request %s", id)
	}
	if from > r.position {
		return Chunk{}, errors.Wrapf(ErrOutOfRange, "request %s: read from %d of %d tokens", id, from, r.position)
	}
	return b.chunk(r, from), nil
}

// Wait returns the tokens from a position on. It waits until there is at least one,
// or until the request has ended or was refused.
func (b *Buffer) Wait(ctx context.Context, id string, from uint64) (Chunk, error) {
	for {
		chunk, err := b.Read(id, from)
		if err != nil || len(chunk.Texts) > 0 || !chunk.More {
			return chunk, err
		}
		select {
		case <-ctx.Done():
			return Chunk{}, errors.Wrapf(ctx.Err(), "wait for request %s", id)
		case <-chunk.Changed:
		}
	}
}

// Bytes returns the estimated memory use of all records, in bytes.
func (b *Buffer) Bytes() int64 {
	return b.bytes.Load()
}

// OpenRequests returns the number of requests that have not ended.
func (b *Buffer) OpenRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records) - len(b.deadlines)
}

// chunk returns the texts from a position on. It limits the capacity of the slice, so
// that an append to the result can't overwrite later texts. The caller holds mu.
func (b *Buffer) chunk(r *record, from uint64) Chunk {
	end := len(r.texts)
	chunk := Chunk{
		Position: from,
		Texts:    r.texts[from:end:end],
		Entry:    r.entry(),
		More:     r.isOpen(),
	}
	if chunk.More {
		chunk.Changed = r.changeChannel()
		return chunk
	}
	b.markFullyRead(r)
	return chunk
}

// markFullyRead adds an ended answer to the list of those that were read to their
// end. The caller holds mu.
func (b *Buffer) markFullyRead(r *record) {
	if _, ended := r.state.(Ended); ended && r.fullyRead == nil {
		r.fullyRead = b.fullyRead.PushBack(r)
	}
}

// Unread returns the number of ended answers that no client has read to their end
// and whose texts are kept until after the given time.
func (b *Buffer) Unread(evictAfter time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.deadlines {
		ended, ok := r.state.(Ended)
		if ok && r.fullyRead == nil && ended.EvictAt.After(evictAfter) {
			count++
		}
	}
	return count
}
