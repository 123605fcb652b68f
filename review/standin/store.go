package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a small stand-in for the platform's store: keyed topics that are read by offset.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string][]keyed
	changed chan struct{}
	// era is the number of restores, and away says that the store cannot be reached.
	era  int
	away bool
	// log holds the length of each topic over time, from which copies are made.
	log []snapshot
}

// snapshot is the length of each topic at a time.
type snapshot struct {
	at      time.Time
	lengths map[string]int
}

// restore takes the store away for a moment and brings it back from a copy that is some time old.
// What was written since is gone, and the era rises by one.
func (s *store) restore(moment, old time.Duration) (lost int) {
	s.mu.Lock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(moment)
	s.mu.Lock()
	defer s.mu.Unlock()
	var made *snapshot
	for i := range s.log {
		if time.Since(s.log[i].at) >= old+moment {
			made = &s.log[i]
		}
	}
	for topic, records := range s.topics {
		length := 0
		if made != nil {
			length = made.lengths[topic]
		}
		lost += len(records) - length
		s.topics[topic] = append([]keyed(nil), records[:length]...)
	}
	s.log = nil
	s.era++
	s.away = false
	return lost
}

// snapshots makes a copy of the store now and then.
func (s *store) snapshots() {
	for {
		s.mu.Lock()
		made := snapshot{at: time.Now(), lengths: map[string]int{}}
		for topic, records := range s.topics {
			made.lengths[topic] = len(records)
		}
		s.log = append(s.log, made)
		s.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// isAway reports whether the store cannot be reached, and the era.
func (s *store) isAway() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.era
}

// drop closes the channel of a call without an answer.
func drop(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

type keyed struct {
	key   string
	value []byte
}

func newStore(address string) *store {
	return &store{address: address, topics: map[string][]keyed{}, changed: make(chan struct{})}
}

// put is a write of the operator or of a replica. Its return is the ack.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, keyed{key, value})
}

func (s *store) add(topic string, records ...keyed) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// putConfig writes a version of the configuration.
func (s *store) putConfig(config map[string]any) {
	data, err := json.Marshal(config)
	must(err)
	s.put("keyed.op", "config", data)
}

func (s *store) start() {
	listener, err := net.Listen("tcp", s.address)
	must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	background.Go(s.snapshots)
	background.Go(func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			away, era := s.isAway()
			if away {
				drop(w)
				return
			}
			w.Header().Set("Store-Era", strconv.Itoa(era))
			mux.ServeHTTP(w, r)
		}))
	})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.FormValue("topic")]
	last := map[string]int{}
	for i, k := range records {
		last[k.key] = i
	}
	items := []item{}
	for i, k := range records {
		if last[k.key] == i && len(k.value) > 0 {
			items = append(items, item{k.key, k.value, i})
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
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed, away := s.topics[r.FormValue("topic")], s.changed, s.away
		s.mu.Unlock()
		if away {
			drop(w)
			return
		}
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, k := range records[from:] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(k.key)+len(k.value)))
			body = append(body, byte(len(k.key)))
			body = append(append(body, k.key...), k.value...)
		}
		if from < len(records) {
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

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []keyed
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || len(body) < 4+length || int(body[4])+1 > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		end := 5 + int(body[4])
		records = append(records, keyed{string(body[5:end]), body[end : 4+length]})
		body = body[4+length:]
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.add(topic, records...)
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": end})
}
