package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// era is the number of times that the store came back from a copy; away says that it is refusing calls.
	era  int
	away bool
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// put appends a record; the return is the time of the acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// copyOf returns a copy of the store: the number of records of each topic.
func (s *store) copyOf() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for topic, records := range s.topics {
		counts[topic] = len(records)
	}
	return counts
}

// goAway makes the store refuse calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// restore brings the store back from a copy. What was written since is gone.
func (s *store) restore(counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		s.topics[topic] = append([]record(nil), records[:counts[topic]]...)
	}
	s.era++
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.FormValue("topic")]
	last := make(map[string]int)
	for n, rec := range records {
		last[rec.key] = n
	}
	items := []item{}
	for n, rec := range records {
		if last[rec.key] == n && len(rec.value) > 0 {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), n})
		}
	}
	end := len(records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[r.FormValue("topic")]
		changed := s.changed
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		over := false
		if from == len(records) {
			select {
			case <-changed:
				continue
			case <-limit:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if over || from < len(records) {
			_, _ = w.Write(encode(records, from))
			return
		}
	}
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func encode(records []record, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, rec := range records[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(body, byte(len(rec.key)))
		body = append(body, rec.key...)
		body = append(body, rec.value...)
	}
	return body
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		if length > len(body)-4 || int(body[4])+1 > length {
			break
		}
		end := 5 + int(body[4])
		s.put(topic, string(body[5:end]), body[end:4+length])
		body = body[4+length:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": end})
}
