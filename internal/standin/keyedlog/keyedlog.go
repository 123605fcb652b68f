// Package keyedlog is a stand-in for the platform's store, with faults that tests
// inject. The store consists of topics of keyed records, which are read by offset.
package keyedlog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

// Faults holds the faults of the store. The zero value injects none.
type Faults struct {
	// RefuseStatus is the status with which every call is refused; zero refuses
	// none.
	RefuseStatus int
	// Unresponsive makes the store accept calls without ever responding.
	Unresponsive bool
	// DelayMillis is the time by which each reply is delayed, after the call has been
	// handled.
	DelayMillis int
}

// Log is the store, a keyed log.
type Log struct {
	serving.Listener

	mu     sync.Mutex
	faults Faults
	topics map[string]*topic
	// calls is the number of calls that arrived.
	calls int
	// era is the number of times that the store was restored from a copy.
	era int
	// changed is closed and replaced at each change of a topic or of the faults.
	changed chan struct{}
}

// topic is one keyed topic with a single partition.
type topic struct {
	records []record
	// first is the offset of the oldest record that a read can return. Offsets are
	// counted from 0.
	first int
}

// record is one record of a topic; an empty value deletes the key.
type record struct {
	key   string
	value []byte
}

// Put appends a record to a topic. An empty value deletes the key.
func (l *Log) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	l.notifyChange()
}

// DeleteHistory makes the records written so far unavailable to reads by offset. The
// newest record of each key remains available.
func (l *Log) DeleteHistory(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first = len(t.records)
	l.notifyChange()
}

// Copy is a copy of the store: the number of records in each topic.
type Copy map[string]int

// Copy returns a copy from which the store can be restored.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(Copy)
	for name, t := range l.topics {
		c[name] = len(t.records)
	}
	return c
}

// Restore replaces the contents by those of a copy. The offsets of the records that are lost
// are given out again.
func (l *Log) Restore(c Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.topics {
		t.records = slices.Clone(t.records[:c[name]])
		t.first = min(t.first, len(t.records))
	}
	l.era++
	l.notifyChange()
}

// SetFaults replaces the injected faults.
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

// Routes returns a handler that serves the store's calls.
func (l *Log) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", l.newest)
	mux.HandleFunc("GET /log-read", l.read)
	mux.HandleFunc("POST /log-append", l.append)
	return l.withFaults(mux)
}

// withFaults is a middleware that counts each call and applies the faults.
func (l *Log) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.calls++
		faults := l.faults
		w.Header().Set("Store-Era", strconv.Itoa(l.era))
		l.mu.Unlock()
		if faults.Unresponsive {
			<-r.Context().Done()
			return
		}
		if faults.RefuseStatus != 0 {
			w.WriteHeader(faults.RefuseStatus)
			return
		}
		if faults.DelayMillis == 0 {
			next.ServeHTTP(w, r)
			return
		}
		serveDelayed(w, r, next, time.Duration(faults.DelayMillis)*time.Millisecond)
	})
}

// serveDelayed handles a call at once and sends the reply after a delay.
func serveDelayed(w http.ResponseWriter, r *http.Request, next http.Handler, delay time.Duration) {
	reply := &heldReply{header: w.Header(), status: http.StatusOK}
	next.ServeHTTP(reply, r)
	select {
	case <-time.After(delay):
		w.WriteHeader(reply.status)
		_, _ = w.Write(reply.body.Bytes())
	case <-r.Context().Done():
	}
}

// heldReply is a reply that is not sent yet.
type heldReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header fields of the reply.
func (h *heldReply) Header() http.Header { return h.header }

// WriteHeader sets the status.
func (h *heldReply) WriteHeader(status int) { h.status = status }

// Write adds to the body.
func (h *heldReply) Write(data []byte) (int, error) { return h.body.Write(data) }

// topic returns the named topic and creates it if needed; the caller holds mu.
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

// notifyChange wakes the waiting reads; the caller holds mu.
func (l *Log) notifyChange() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// append appends the records in the body, each after its length.
func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := decodeAppend(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	offset := len(t.records)
	t.records = append(t.records, records...)
	l.notifyChange()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": len(t.records)})
}

// decodeAppend decodes the records of an append. It returns false when they are malformed.
func decodeAppend(body []byte) ([]record, bool) {
	const lengthBytes = 4
	var records []record
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if length == 0 || length > len(body) || int(body[0])+1 > length {
			return nil, false
		}
		end := int(body[0]) + 1
		records = append(records, record{key: string(body[1:end]), value: body[end:length]})
		body = body[length:]
	}
	return records, true
}

// newest responds with the newest record of each key.
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

// read responds with the records beginning at an offset. If there are none, it waits
// for one, at most for the time that the request sets.
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

// from encodes the records beginning at an offset, and reports whether some of them
// were deleted or the offset does not exist. The body holds the end of the topic and the oldest readable offset, as
// 8 bytes each. For each record, it then holds the length of the rest of the record in
// 4 bytes, the length of the key in 1 byte, the key and the value.
func (t *topic) from(offset int) ([]byte, bool) {
	if offset < t.first || offset > len(t.records) {
		return nil, true
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, rec := range t.records[offset:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(body, rec.key...)
		body = append(body, rec.value...)
	}
	return body, false
}
