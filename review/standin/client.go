package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host name of all routes, and apiKey the key of the only tenant.
const (
	host   = "ficu95.example"
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// sent is one client attempt and what became of it.
type sent struct {
	id      string
	path    string
	to      *process
	at      time.Time
	readAt  time.Time // the time at which the last byte was sent
	ended   time.Time
	kept    bool // whether the channel had carried a request before
	status  int
	signed  string
	body    []byte
	events  []int // ids of the events of a stream
	whole   bool  // whether the answer is complete by its framing
	err     error
	want    int // events that a complete stream has
	timeout time.Duration
}

// channel is a client's channel to an entry host.
type channel struct {
	to     *process
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

func open(to *process) (*channel, error) {
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{to: to, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// clients keeps all attempts.
type clients struct {
	site *site
	mu   sync.Mutex
	all  []*sent
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request and waits for its answer. It reports whether the channel may be used again.
func (c *clients) send(ch *channel, method, path string, extra map[string]string, body []byte, timeout time.Duration, want int) (*sent, bool) {
	s := &sent{id: newID(), path: path, to: ch.to, at: time.Now(), kept: ch.used, want: want, timeout: timeout}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	ch.used = true
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Deadline-Ms: %d\r\n",
		method, path, host, s.id, timeout.Milliseconds())
	if !strings.HasPrefix(path, "/public") {
		b.WriteString("X-Api-Key: " + apiKey + "\r\n")
	}
	for name, value := range extra {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	again := c.exchange(ch, s, method, b.Bytes())
	s.ended = time.Now()
	c.site.rec.note("client: %s %s to %s, %s: %s after %d ms", s.id, path, ch.to.name,
		map[bool]string{true: "kept channel", false: "new channel"}[s.kept], s.outcome(), s.ended.Sub(s.at).Milliseconds())
	return s, again
}

func (s *sent) outcome() string {
	text := "no answer"
	if s.status != 0 {
		text = fmt.Sprintf("%d, signature %q", s.status, s.signed)
	}
	if s.want > 0 && s.status == http.StatusOK {
		text += fmt.Sprintf(", %d of %d events", len(s.events), s.want)
	}
	if s.err != nil {
		return text + ", channel ended: " + strings.TrimSpace(s.err.Error())
	}
	return text + ", complete"
}

func (c *clients) exchange(ch *channel, s *sent, method string, request []byte) bool {
	_ = ch.conn.SetDeadline(s.at.Add(s.timeout + 2*time.Second))
	if _, err := ch.conn.Write(request); err != nil {
		s.err = err
		return false
	}
	s.readAt = time.Now()
	c.site.rec.note("client: %s %s sent to %s", s.id, s.path, ch.to.name)
	answer, err := http.ReadResponse(ch.reader, &http.Request{Method: method})
	if err != nil {
		s.err = err
		return false
	}
	s.status = answer.StatusCode
	s.signed = answer.Header.Get("Fulmarvalve-Response-Signature")
	s.body, s.err = io.ReadAll(answer.Body)
	s.whole = s.err == nil
	for _, event := range strings.Split(string(s.body), "\n\n") {
		for _, line := range strings.Split(event, "\n") {
			if text, ok := strings.CutPrefix(line, "id: "); ok {
				n, _ := strconv.Atoi(text)
				s.events = append(s.events, n)
			}
		}
	}
	return s.whole && !answer.Close
}

// generation returns the headers of a request for a generation.
func generation(prompt, events int) map[string]string {
	own := rand.Uint32()
	return map[string]string{
		"Fulmarvalve-Model":         "m",
		"Fulmarvalve-Token-Usage":   fmt.Sprintf("%d,%d", prompt, events*tokensPerEvent),
		"Fulmarvalve-Prompt-Prefix": fmt.Sprintf("%08x:48,%08x:%d", rand.IntN(20)+1, own, prompt-48),
		"Fulmarvalve-Length-Hint":   strconv.Itoa(events * tokensPerEvent),
	}
}

// keep sends requests of one kind on a kept channel until stop is closed, with a pause between two.
func (c *clients) keep(to *process, method, path string, body []byte, pause time.Duration, timeout time.Duration, stop chan struct{}) {
	var ch *channel
	for {
		select {
		case <-stop:
			if ch != nil {
				ch.close()
			}
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
		}
		if ch == nil {
			opened, err := open(to)
			if err != nil {
				continue
			}
			ch = opened
		}
		if _, again := c.send(ch, method, path, nil, body, timeout, 0); !again {
			ch.close()
			ch = nil
		}
	}
}
