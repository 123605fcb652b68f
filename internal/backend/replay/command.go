package replay

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Start opens a request and assigns the next sequence number to its generation. If
// the buffer holds the ID already, Start changes nothing and returns the existing
// entry and true. The buffer keeps the ID until forgetAt and rejects it as expired
// from then on. Each retry of a request must pass the same forgetAt.
func (b *Buffer) Start(id string, forgetAt time.Time) (Entry, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry, held, err := b.findOrAdmit(id, forgetAt); held || err != nil {
		return entry, held, err
	}
	b.sequence++
	r := &record{
		id:       id,
		sequence: b.sequence,
		state:    Open{Progress: message.GenerationState_GENERATION_STATE_WAITING},
		forgetAt: forgetAt,
	}
	b.insert(r)
	return r.entry(), false, nil
}

// Refuse records that a request will never run here. If the buffer holds the ID
// already, Refuse changes nothing and returns the existing entry and true.
func (b *Buffer) Refuse(id string, code uint32, reason string, forgetAt time.Time) (Entry, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry, held, err := b.findOrAdmit(id, forgetAt); held || err != nil {
		return entry, held, err
	}
	r := &record{
		id:       id,
		state:    Refused{Code: code, Reason: reason},
		forgetAt: forgetAt,
		dueAt:    forgetAt,
	}
	b.insert(r)
	heap.Push(&b.deadlines, r)
	return r.entry(), false, nil
}

// findOrAdmit returns the entry of an ID and true if the buffer holds it. Otherwise it makes room for
// a new record, or returns an error if none can be added. The caller holds mu.
func (b *Buffer) findOrAdmit(id string, forgetAt time.Time) (Entry, bool, error) {
	now := time.Now()
	b.evict(now)
	if r, ok := b.records[id]; ok {
		return r.entry(), true, nil
	}
	return Entry{}, false, b.admit(id, forgetAt, now)
}

// Append adds tokens to an open request. Tokens that the buffer holds already are
// compared with the stored ones and skipped.
func (b *Buffer) Append(id string, position uint64, texts []string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, err := b.open(id)
	if err != nil {
		return err
	}
	if position > r.position {
		return errors.Wrapf(ErrGap, "request %s: append at %d after %d tokens", id, position, r.position)
	}
	fresh, err := r.missingTexts(position, texts)
	if err != nil || len(fresh) == 0 {
		return err
	}
	b.extend(r, fresh)
	r.notify()
	return nil
}

// Progress records the state of an open request on the engine.
func (b *Buffer) Progress(id string, progress message.GenerationState) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, err := b.open(id)
	if err != nil {
		return err
	}
	if r.state == State(Open{Progress: progress}) {
		return nil
	}
	r.state = Open{Progress: progress}
	r.notify()
	return nil
}

// Finish ends an open request. Its texts are kept until evictAt.
func (b *Buffer) Finish(id string, code uint32, reason string, evictAt time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, err := b.open(id)
	if err != nil {
		return err
	}
	r.state = Ended{Code: code, Reason: reason, EvictAt: evictAt}
	r.dueAt = evictAt
	heap.Push(&b.deadlines, r)
	r.notify()
	return nil
}

// Evict drops the texts and request IDs whose deadline has passed at now, and
// returns how many it dropped.
func (b *Buffer) Evict(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evict(now)
}

// open returns the record of an open request. The caller holds mu.
func (b *Buffer) open(id string) (*record, error) {
	r, ok := b.records[id]
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "request %s", id)
	}
	if !r.isOpen() {
		return nil, errors.Wrapf(ErrClosed, "request %s", id)
	}
	return r, nil
}

// missingTexts returns the texts that the record does not contain yet. It fails with
// ErrDiverged if another text differs from the stored one.
func (r *record) missingTexts(position uint64, texts []string) ([]string, error) {
	for i, text := range texts {
		at := position + uint64(i)
		if at >= r.position {
			return texts[i:], nil
		}
		if r.texts[at] != text {
			return nil, errors.Wrapf(ErrDiverged, "request %s at position %d", r.id, at)
		}
	}
	return nil, nil
}

// extend adds texts to a record and accounts for their size. The caller holds mu.
func (b *Buffer) extend(r *record, texts []string) {
	r.texts = append(r.texts, texts...)
	r.position += uint64(len(texts))
	size := int64(len(texts)) * tokenOverheadBytes
	for _, text := range texts {
		size += int64(len(text))
	}
	r.bytes += size
	b.bytes.Add(size)
}

// insert adds a new record and accounts for its size. The caller holds mu.
func (b *Buffer) insert(r *record) {
	if b.records == nil {
		b.records = make(map[string]*record)
	}
	r.bytes = recordOverheadBytes + int64(len(r.id))
	b.bytes.Add(r.bytes)
	b.records[r.id] = r
}
