// Package keyedlog is a stand-in of the store of the users' platform: keyed
// topics that are read by offset, with faults that tests switch on.
package keyedlog

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Faults of the store. The zero value has none.
type Faults struct {
	// RefuseStatus answers every call with this status.
	RefuseStatus int
	// Unresponsive keeps calls without an answer.
	Unresponsive bool
}

// Log is the store.
type Log struct {
	serving.Listener

	mu     sync.Mutex
	faults Faults
	topics map[string]*topic
	calls  int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// topic is one keyed topic with a single partition.
type topic struct {
	records []record
	// first is the offset of the oldest record that a read can return.
	first int
}

type record struct {
	key   string
	value []byte
}

// Put writes a record. An empty value deletes the key.
func (l *Log) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	l.notifyChange()
}

// DeleteHistory makes reads of what was written so far impossible.
func (l *Log) DeleteHistory(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first = len(t.records)
	l.notifyChange()
}

// SetFaults switches faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notifyChange()
}

// Calls returns the number of calls that arrived.
func (l *Log) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Routes serves the store's calls.
func (l *Log) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", l.newest)
	mux.HandleFunc("GET /log-read", l.read)
	return l.withFaults(mux)
}

func (l *Log) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.calls++
		faults := l.faults
		l.mu.Unlock()
		if faults.Unresponsive {
			<-r.Context().Done()
			return
		}
		if faults.RefuseStatus != 0 {
			w.WriteHeader(faults.RefuseStatus)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Log) topic(name string) *topic {
	if l.topics == nil {
		l.topics = make(map[string]*topic)
		l.changed = make(chan struct{})
	}
	t, ok := l.topics[name]
	if !ok {
		t = &topic{}
		l.topics[name] = t
	}
	return t
}

func (l *Log) notifyChange() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// newest returns the newest record of each key.
func (l *Log) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	l.mu.Lock()
	t := l.topic(r.FormValue("topic"))
	latest := make(map[string]item)
	for offset, rec := range t.records {
		latest[rec.key] = item{Key: rec.key, Value: rec.value, Offset: offset}
		if len(rec.value) == 0 {
			delete(latest, rec.key)
		}
	}
	end := len(t.records)
	l.mu.Unlock()
	items := make([]item, 0, len(latest))
	for _, i := range latest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return a.Offset - b.Offset })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": end})
}

// read returns the records from an offset on, and waits for the first one.
func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	waitMillis, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		l.mu.Lock()
		t := l.topic(r.FormValue("topic"))
		body, gone := t.from(from)
		some := from < len(t.records)
		changed := l.changed
		l.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if some {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// from encodes the records from an offset on. It reports whether some of them
// were deleted.
func (t *topic) from(offset int) ([]byte, bool) {
	if offset < t.first {
		return nil, true
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, rec := range t.records[min(offset, len(t.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(body, rec.key...)
		body = append(body, rec.value...)
	}
	return body, false
}
