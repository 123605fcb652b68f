package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one keyed record of a topic; an empty value deletes the key.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: topics of keyed records with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// era is the number of times that the store was restored from a copy, and away says that it answers nothing.
	era  int
	away bool
}

// copyOf returns the number of records of each topic.
func (s *store) copyOf() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := make(map[string]int)
	for topic, all := range s.topics {
		sizes[topic] = len(all)
	}
	return sizes
}

// leave makes the store refuse all calls with 503, and restore ends that: the store is back from a copy.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) restore(sizes map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, all := range s.topics {
		s.topics[topic] = append([]record(nil), all[:sizes[topic]]...)
	}
	s.era++
	s.away = false
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{}), era: 1}
}

// put appends a record; an empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the newest value of a key; nil if there is none.
func (s *store) newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, r := range s.topics[topic] {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/log-newest":
		s.serveNewest(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	all := s.topics[r.FormValue("topic")]
	latest := make(map[string]item)
	for n, rec := range all {
		if len(rec.value) == 0 {
			delete(latest, rec.key)
			continue
		}
		latest[rec.key] = item{rec.key, rec.value, n}
	}
	end := len(all)
	s.mu.Unlock()
	items := make([]item, 0, len(latest))
	for _, i := range latest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waits := true; ; {
		s.mu.Lock()
		all, changed, away := s.topics[r.FormValue("topic")], s.changed, s.away
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from < 0 || from > len(all) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(all) || !waits {
			_, _ = w.Write(encodeRecords(all, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the end and the first offset, and the records from an offset on.
func encodeRecords(all []record, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, r := range all[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
	}
	return body
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	offset := 0
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		one := body[4 : 4+length]
		body = body[4+length:]
		keyEnd := 1 + int(one[0])
		s.put(topic, string(one[1:keyEnd]), one[keyEnd:])
	}
	s.mu.Lock()
	offset = len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": offset})
}
