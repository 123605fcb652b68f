package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerBytes is the size of an answer, and readBytesPerSecond the rate at which a slow client reads it:
	// 49 s for the whole answer, within the route's time limit of 60 s.
	answerBytes        = 7 << 20
	readBytesPerSecond = 150 << 10
	slowTimeLimit      = 60 * time.Second
)

// answerLarge is the behaviour of a sound plain service with a large answer.
func answerLarge(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) {
	body, _ := io.ReadAll(q.Body)
	a.body = len(body)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	n, err := io.WriteString(w, strings.Repeat("a", answerBytes))
	r.site.note("%s ran %s and wrote %d of %d bytes of its answer, %v", r.id, a.id, n, answerBytes, err)
}

// slowClient sends a small request and then, on the same channel, one with a large answer, which it reads at a
// rate. It returns whether the channel was closed before the whole answer had come.
func slowClient(s *site, address string, bytesPerSecond int) (bool, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	_ = conn.SetDeadline(time.Now().Add(slowTimeLimit))
	reader := bufio.NewReaderSize(conn, 4096)
	id := newID()
	status, answer, err := send(conn, reader, http.MethodPost, head(http.MethodPost, "/book/1", id, "", 2500, 0), "")
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first request on a channel: status %d, %q, %w", status, answer, err)
	}
	id = newID()
	began := time.Now()
	if _, err := io.WriteString(conn, head(http.MethodPost, "/list/1", id, "", int(slowTimeLimit.Milliseconds()), 0)); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.note("list %s: no answer: %v", id, err)
		return true, nil
	}
	buffer := make([]byte, 4096)
	got := 0
	for {
		n, err := response.Body.Read(buffer)
		got += n
		if err != nil {
			s.note("list %s: status %d, %d of %d bytes came in %.1f s, %v", id, response.StatusCode, got, answerBytes, time.Since(began).Seconds(), err)
			return got != answerBytes && response.StatusCode == http.StatusOK, nil
		}
		if bytesPerSecond > 0 {
			due := began.Add(time.Duration(float64(got) / float64(bytesPerSecond) * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
	}
}

func slowReaders(s *site) (bool, error) {
	limit := int(slowTimeLimit.Milliseconds())
	s.configure(usualLimits(), []map[string]any{
		route("list", "/list/", "unsafe", "gym-list", limit, 1, false),
		route("book", "/book/", "unsafe", "gym-desk", 2500, 1, false),
	}, []map[string]any{{"name": "gym-list"}, {"name": "gym-desk"}})
	if _, err := s.addReplica("gym-list", 6, answerLarge); err != nil {
		return false, err
	}
	if _, err := s.addReplica("gym-desk", 6, answerPlain); err != nil {
		return false, err
	}
	if err := s.addEntries(1, 134); err != nil {
		return false, err
	}
	rate := 0
	if s.trouble {
		rate = readBytesPerSecond
	}
	const rounds, together = 3, 2
	var cut atomic.Int64
	var failed error
	for range rounds {
		var clients sync.WaitGroup
		for range together {
			clients.Go(func() {
				isCut, err := slowClient(s, s.entries[0].addr(), rate)
				if err != nil {
					failed = err
				}
				if isCut {
					cut.Add(1)
				}
			})
		}
		clients.Wait()
	}
	s.note("%d channels were closed without the whole answer, more than 3 break the rule", cut.Load())
	return cut.Load() > 3, failed
}
