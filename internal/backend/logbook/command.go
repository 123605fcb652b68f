package logbook

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Start opens a request and gives it the next generation. When the ID is held
// already, nothing starts: it returns the entry and true. The ID is remembered
// until forgetAt, which must be the same whenever the request comes again;
// from then on it is rejected as expired.
func (l *Logbook) Start(id string, forgetAt time.Time) (Entry, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.evict(now)
	if r, ok := l.records[id]; ok {
		return r.entry(), true, nil
	}
	if err := l.admit(id, forgetAt, now); err != nil {
		return Entry{}, false, err
	}
	l.sequence++
	r := &record{
		id:       id,
		sequence: l.sequence,
		state:    Open{Progress: message.GenerationState_GENERATION_STATE_WAITING},
		forgetAt: forgetAt,
	}
	l.insert(r)
	return r.entry(), false, nil
}

// Refuse records that a request will never run here. A request that is held
// already is left as it is and returned with true.
func (l *Logbook) Refuse(id string, code uint32, reason string, forgetAt time.Time) (Entry, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.evict(now)
	if r, ok := l.records[id]; ok {
		return r.entry(), true, nil
	}
	if err := l.admit(id, forgetAt, now); err != nil {
		return Entry{}, false, err
	}
	r := &record{
		id:       id,
		state:    Refused{Code: code, Reason: reason},
		forgetAt: forgetAt,
		dueAt:    forgetAt,
	}
	l.insert(r)
	heap.Push(&l.deadlines, r)
	return r.entry(), false, nil
}

// Append adds tokens to an open request. Tokens that are held already are
// compared and skipped.
func (l *Logbook) Append(id string, position uint64, texts []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := l.open(id)
	if err != nil {
		return err
	}
	if position > r.position {
		return errors.Wrapf(ErrGap, "request %s: append at %d after %d tokens", id, position, r.position)
	}
	fresh, err := r.compare(position, texts)
	if err != nil || len(fresh) == 0 {
		return err
	}
	l.extend(r, fresh)
	r.wake()
	return nil
}

// Progress records where an open request stands on the engine.
func (l *Logbook) Progress(id string, progress message.GenerationState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := l.open(id)
	if err != nil {
		return err
	}
	if r.state == State(Open{Progress: progress}) {
		return nil
	}
	r.state = Open{Progress: progress}
	r.wake()
	return nil
}

// Finish ends an open request. Its texts are held until evictAt.
func (l *Logbook) Finish(id string, code uint32, reason string, evictAt time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := l.open(id)
	if err != nil {
		return err
	}
	r.state = Ended{Code: code, Reason: reason, EvictAt: evictAt}
	r.dueAt = evictAt
	heap.Push(&l.deadlines, r)
	r.wake()
	return nil
}

// Evict drops what is past its deadline at now and returns the count of
// answers and identities dropped.
func (l *Logbook) Evict(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evict(now)
}

// open returns a request that may still change.
func (l *Logbook) open(id string) (*record, error) {
	r, ok := l.records[id]
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "request %s", id)
	}
	if !r.isOpen() {
		return nil, errors.Wrapf(ErrClosed, "request %s", id)
	}
	return r, nil
}

// compare returns the texts that the record lacks.
func (r *record) compare(position uint64, texts []string) ([]string, error) {
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

func (l *Logbook) extend(r *record, texts []string) {
	r.texts = append(r.texts, texts...)
	r.position += uint64(len(texts))
	size := int64(len(texts)) * tokenOverheadBytes
	for _, text := range texts {
		size += int64(len(text))
	}
	r.bytes += size
	l.bytes.Add(size)
}

func (l *Logbook) insert(r *record) {
	if l.records == nil {
		l.records = make(map[string]*record)
	}
	r.bytes = recordOverheadBytes + int64(len(r.id))
	l.bytes.Add(r.bytes)
	l.records[r.id] = r
}
