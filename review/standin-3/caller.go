package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request of a caller.
type request struct {
	id, method, path string
	deadlineMillis   int
	// prompt and output are the sizes in tokens; zero for a plain service.
	prompt, output int
	body           string
}

// reply is what the caller has got.
type reply struct {
	status int
	header http.Header
	body   string
	// err says how the reply broke off; nil for a whole one.
	err     error
	elapsed time.Duration
	// closes says that the channel ends with the reply.
	closes bool
}

// events returns the IDs of the whole events of a stream.
func (r reply) events() []int {
	var all []int
	for _, event := range strings.SplitAfter(r.body, "\n\n") {
		if text, ok := strings.CutPrefix(event, "id: "); ok && strings.HasSuffix(event, "\n\n") {
			line, _, _ := strings.Cut(text, "\n")
			id, _ := strconv.Atoi(line)
			all = append(all, id)
		}
	}
	return all
}

// caller is a client with a channel that it keeps.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

const (
	apiKey   = "key-of-hall-a"
	siteHost = "ficu95.example"
)

// send sends a request over the channel, which it opens if need be, and reads the reply.
func (c *caller) send(q request) reply {
	started := time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(started.Add(time.Duration(q.deadlineMillis) * time.Millisecond))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		c.close()
		return reply{err: err, elapsed: time.Since(started)}
	}
	got := c.read(q)
	got.elapsed = time.Since(started)
	if got.err != nil || got.closes {
		c.close()
	}
	return got
}

func (q request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		q.method, q.path, siteHost, q.id, q.deadlineMillis, apiKey)
	if q.output > 0 {
		head += fmt.Sprintf("Fulmarvalve-Model: m\r\nFulmarvalve-Token-Usage: %d,%d\r\nFulmarvalve-Prompt-Prefix: %x:%d\r\n",
			q.prompt, q.output, q.id, q.prompt)
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return head + "\r\n" + q.body
}

func (c *caller) read(q request) reply {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(body), err: err, closes: answer.Close}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
