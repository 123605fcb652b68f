package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// newID returns an ID for one client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requests.Add(1)) }

// head returns the head of a client's request.
func head(method, path, id, extra string, deadlineMS, bodyBytes int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n%s",
		method, path, id, deadlineMS, apiKey, extra)
	if bodyBytes >= 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	return h + "\r\n"
}

// generation returns the headers of a request to a model.
func generation(id string, promptTokens, outputTokens int) string {
	return fmt.Sprintf("Fulmarvalve-Model: m\r\nFulmarvalve-Token-Usage: %d,%d\r\nFulmarvalve-Prompt-Prefix: 5c1e07a2:79,%s:%d\r\n",
		promptTokens, outputTokens, id, promptTokens-79)
}

// result is what a client saw of one request.
type result struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
}

// send sends a request over a connection and reads its whole answer.
func send(conn net.Conn, reader *bufio.Reader, method, text, body string) (status int, answer string, err error) {
	if _, err := io.WriteString(conn, text+body); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// request sends one request over a new connection.
func request(address, method, path, extra string, deadline time.Duration, body string) result {
	r := result{id: newID()}
	return requestAs(r.id, address, method, path, extra, deadline, body)
}

func requestAs(id, address, method, path, extra string, deadline time.Duration, body string) result {
	r := result{id: id}
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(deadline + 500*time.Millisecond))
	bodyBytes := len(body)
	if method == http.MethodGet || method == http.MethodHead {
		bodyBytes = -1
	}
	text := head(method, path, r.id, extra, int(deadline.Milliseconds()), bodyBytes)
	r.status, r.body, r.err = send(conn, bufio.NewReader(conn), method, text, body)
	return r
}

// get is a plain HTTP GET with a short time limit.
func get(address, path string) (int, string) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data))
}

// sendRaw sends a request without a body over a new connection and returns the status of its answer, or zero.
func sendRaw(address, text string) int {
	conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	status, _, err := send(conn, bufio.NewReader(conn), http.MethodPost, text, "")
	if err != nil {
		return 0
	}
	return status
}
