package logbook

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Find returns the entry of a request, and false when its ID is not held.
func (l *Logbook) Find(id string) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[id]
	if !ok {
		return Entry{}, false
	}
	return r.entry(), true
}

// Read returns the tokens from a position on without waiting.
func (l *Logbook) Read(id string, from uint64) (Chunk, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[id]
	if !ok {
		return Chunk{}, errors.Wrapf(ErrUnknown, "request %s", id)
	}
	if _, evicted := r.state.(Evicted); evicted {
		return Chunk{}, errors.Wrapf(ErrForgotten, "request %s", id)
	}
	if from > r.position {
		return Chunk{}, errors.Wrapf(ErrBeyond, "request %s: read from %d of %d tokens", id, from, r.position)
	}
	return l.chunk(r, from), nil
}

// Wait returns the tokens from a position on as soon as there is at least one,
// or the request has ended or was refused.
func (l *Logbook) Wait(ctx context.Context, id string, from uint64) (Chunk, error) {
	for {
		chunk, err := l.Read(id, from)
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

// Bytes returns the memory charged for all records.
func (l *Logbook) Bytes() int64 {
	return l.bytes.Load()
}

// OpenRequests counts the requests that have not ended.
func (l *Logbook) OpenRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) - len(l.deadlines)
}

// chunk cuts the texts so that a later append can't write into the result.
func (l *Logbook) chunk(r *record, from uint64) Chunk {
	end := len(r.texts)
	chunk := Chunk{
		Position: from,
		Texts:    r.texts[from:end:end],
		Entry:    r.entry(),
		More:     r.isOpen(),
	}
	if chunk.More {
		chunk.Changed = r.wait()
		return chunk
	}
	l.markReplayed(r)
	return chunk
}

// markReplayed lists an ended answer as read to its end.
func (l *Logbook) markReplayed(r *record) {
	if _, ended := r.state.(Ended); ended && r.replayed == nil {
		r.replayed = l.replayed.PushBack(r)
	}
}

// Unread counts the ended answers that nobody has read to their end and whose
// texts are held until after the given time.
func (l *Logbook) Unread(evictAfter time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.deadlines {
		ended, ok := r.state.(Ended)
		if ok && r.replayed == nil && ended.EvictAt.After(evictAfter) {
			count++
		}
	}
	return count
}
