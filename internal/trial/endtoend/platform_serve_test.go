package endtoend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// eventNumbers returns 1 to n as texts.
func eventNumbers(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = strconv.Itoa(i + 1)
	}
	return all
}

// streamRequest is a draft that may run once, with that many events.
func streamRequest(id string, events int) callerRequest {
	return callerRequest{method: http.MethodPost, target: streamPath + "x", id: id, key: platformKey, tokens: 4 * events, body: "{}"}
}

func TestPlatformServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 1)
	ctx := context.Background()

	target := plainPath + "a//b/../c%2Fd;e?q=1&q=%20"
	got := s.send(ctx, callerRequest{method: http.MethodGet, target: target, id: "plain-1", key: platformKey, header: http.Header{
		"Fulmarvalve-Tenant": {"forged"}, "Fulmarvalve-Hold": {"h"}, "Kv-From": {"1.2.3.4:5/x"},
		"Fulmarvalve-Pin-Ms": {"9"}, "Fulmarvalve-Kv-Backup": {"1.2.3.4:5"}, "X-Own": {"kept"},
	}})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Fulmarvalve-Response-Signature"), "desk-0")
	arrival := s.plainServices[0].Arrivals()[0]
	is.Equal(arrival.Target, target)                                      // unchanged, also odd paths
	is.Equal(arrival.Header.Get("Fulmarvalve-Tenant"), "jarun-hall")      // the key's account
	is.Equal(arrival.Header.Get("X-Api-Key"), "")                         // the key stays here
	is.Equal(arrival.Header.Get("X-Own"), "kept")                         // other headers pass
	is.Equal(arrival.Header.Get("Fulmarvalve-Expect-Instance"), "desk-0") // only that server
	for _, name := range []string{"Fulmarvalve-Hold", "Kv-From", "Fulmarvalve-Pin-Ms", "Fulmarvalve-Kv-Backup"} {
		is.Equal(arrival.Header.Get(name), "") // what a caller sends there is dropped
	}
	left, err := strconv.Atoi(arrival.Header.Get("Fulmarvalve-Deadline-Ms"))
	is.NoErr(err)
	is.True(left > 0 && left <= 8000) // the time that is left

	streamed := s.send(ctx, streamRequest("stream-1", 20))
	is.NoErr(streamed.err)
	is.Equal(streamed.events(), eventNumbers(20))
	is.Equal(s.send(ctx, callerRequest{method: http.MethodGet, target: "/none/", id: "n", key: platformKey}).status, http.StatusNotFound)
	is.Equal(s.send(ctx, callerRequest{method: http.MethodGet, target: plainPath, id: "k", key: "unknown"}).status, http.StatusUnauthorized)
}

func TestPlatformLargeBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	const limit = 4 << 20
	body := strings.Repeat("b", limit)
	got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: "large", key: platformKey, body: body})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(s.plainServices[0].Arrivals()[0].Body), limit)
	got = s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: "larger", key: platformKey, body: body + "b"})
	is.Equal(got.status, http.StatusRequestEntityTooLarge)
}

// A server that answers before it has read a long body gets bytes of that body and
// no others, though further requests come at once.
func TestPlatformEarlyAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.plainServices[0].SetFaults(replica.Faults{AnswerEarly: true})
	const requests = 5
	bodies := make(map[string]string)
	for n := range requests {
		id := "early-" + strconv.Itoa(n)
		bodies[id] = strings.Repeat(strconv.Itoa(n), 3<<20)
		got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: id, key: platformKey, body: bodies[id]})
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	eventually(t, "the servers have read on", func() error {
		if len(s.plainServices[0].Arrivals()) < requests {
			return errNotYet
		}
		return nil
	})
	for _, a := range s.plainServices[0].Arrivals() {
		is.True(strings.HasPrefix(bodies[a.Header.Get("Fulmarvalve-Request-Id")], a.Body))
	}
}

func TestPlatformRefusesAmbiguousHeads(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t, 0, 1)
	hidden := "GET " + plainPath + "hidden HTTP/1.1\r\nHost: " + platformHost + "\r\nX-Api-Key: " + platformKey +
		"\r\nFulmarvalve-Request-Id: hidden\r\n\r\n"
	head := "POST " + oncePath + " HTTP/1.1\r\nHost: " + platformHost + "\r\nX-Api-Key: " + platformKey +
		"\r\nFulmarvalve-Request-Id: outer\r\n"
	cases := map[string]string{
		"length and chunks": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       head + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + hidden,
		"bare line feed":    head + "X-A: b\nContent-Length: 0\r\n\r\n" + hidden,
		"bare return":       head + "X-A: b\rX-B: c\r\nContent-Length: 0\r\n\r\n" + hidden,
		"two hosts":         head + "Host: other.example\r\nContent-Length: 0\r\n\r\n" + hidden,
		"space before name": head + "Content-Length : 0\r\n\r\n" + hidden,
		"other encoding":    head + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + hidden,
		"folded line":       head + "X-A: b\r\n Content-Length: 9\r\n\r\n" + hidden,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := s.sendRaw(text)
			is.True(strings.HasPrefix(answer, "HTTP/1.1 400 ")) // refused
			is.Equal(strings.Count(answer, "HTTP/1.1 "), 1)     // and the connection ends
		})
	}
	is.New(t).Equal(len(s.arrivals()), 0) // nothing ran
}

func TestPlatformRetriesByRouteKind(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		faults   replica.Faults
		target   string
		status   int
		arrivals int
	}{
		{"failure of an idempotent request", replica.Faults{Status: 500}, plainPath, 500, 2},
		{"failure of another", replica.Faults{Status: 500}, oncePath, 500, 1},
		{"cut answer of an idempotent request", replica.Faults{TruncateBody: true}, plainPath, 502, 2},
		{"cut answer of another", replica.Faults{TruncateBody: true}, oncePath, 502, 1},
		{"declined", replica.Faults{Decline: true}, oncePath, 503, 1},
		{"foreign answer first", replica.Faults{ForeignAnswer: true}, oncePath, 200, 1},
		{"no length", replica.Faults{NoContentLength: true}, oncePath, 200, 1},
	}
	s := newPlatformSite(t, 0, 2)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, d := range s.plainServices {
				d.SetFaults(c.faults)
			}
			before := len(s.arrivals())
			got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: c.target, id: c.name, key: platformKey})
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(len(s.arrivals())-before, c.arrivals)
			if c.status == http.StatusOK {
				is.Equal(got.body, "whole answer of a plain service")
			}
		})
	}
}

// A request that ran is not answered as one that did not, also when no further
// server is there for its retry.
func TestPlatformRanIsNotDenied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	s.plainServices[0].SetFaults(replica.Faults{Status: http.StatusInternalServerError})
	got := s.send(context.Background(), plainRequest("ran", platformKey))
	is.Equal(len(s.plainServices[0].Arrivals()), 1)
	is.Equal(got.status, http.StatusInternalServerError)
}

func TestPlatformSupersededAddress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 2)
	// The entry names a server of before at the address of another one.
	s.log.Put("keyed.servers", "desk-0", nil)
	entry := `{"service":"plain","address":"` + s.plainServices[0].Addr() + `","zone":"a","slots":24,"state":"ready","born":1}`
	s.log.Put("keyed.servers", "desk-of-before", []byte(entry))
	time.Sleep(time.Second)
	for n := range 20 {
		got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: strconv.Itoa(n), key: platformKey})
		is.Equal(got.status, http.StatusOK) // the other server takes it
	}
	misdirected := 0
	for _, a := range s.plainServices[0].Arrivals() {
		is.True(!a.Ran)
		misdirected++
	}
	is.True(misdirected <= 1) // learnt at the first one
}

func TestPlatformMalformedEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	for id, entry := range map[string]string{
		"no-address":        `{"service":"plain","zone":"a","state":"ready"}`,
		"other-type":        `{"service":7,"address":"127.0.0.1:1","zone":"a","state":"ready"}`,
		"other-state":       `{"service":"plain","address":"127.0.0.1:1","zone":"a","state":"dancing"}`,
		"no-address-number": `{"service":"plain","address":"somewhere","zone":"a","state":"ready"}`,
		"bytes":             "\x00\xff\x01",
	} {
		s.log.Put("keyed.servers", id, []byte(entry))
	}
	time.Sleep(time.Second)
	for n := range 10 {
		got := s.send(context.Background(), callerRequest{method: http.MethodGet, target: plainPath, id: strconv.Itoa(n), key: platformKey})
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(len(s.plainServices[0].Arrivals()), 10) // none was tried elsewhere
}

func TestPlatformCallerDisconnects(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]replica.Faults{
		"between events":         {},
		"before the first event": {StallBefore: 1, StallMillis: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 1, 0)
			s.setEngineFaults(faults)
			ctx, leave := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				s.send(ctx, streamRequest("leaves", 500))
				return nil
			})
			s.activeEngine()
			leave()
			left := time.Now()
			_ = group.Wait()
			eventually(t, "the run cancelled", func() error {
				if s.engines[0].Running() > 0 {
					return errNotYet
				}
				return nil
			})
			is.True(time.Since(left) < 500*time.Millisecond)
		})
	}
}

func TestPlatformDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 1, 1)
	var group errgroup.Group
	var open callerReply
	group.Go(func() error {
		open = s.send(context.Background(), streamRequest("open", 150))
		return nil
	})
	s.activeEngine()
	s.entry.signal(syscall.SIGHUP) // reads the settings again and cuts nothing
	s.entry.terminate()
	eventually(t, "not ready", func() error {
		if s.ready() == nil {
			return errNotYet
		}
		return nil
	})
	late := s.send(context.Background(), streamRequest("late", 500))
	is.Equal(late.status, http.StatusServiceUnavailable) // it could not end in time
	is.True(late.header.Get("Retry-After") != "")
	hinted := streamRequest("hinted", 500)
	hinted.header = http.Header{"Fulmarvalve-Length-Hint": {"20"}}
	is.Equal(s.send(context.Background(), hinted).status, http.StatusServiceUnavailable) // an estimate is no promise
	plain := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: "quick", key: platformKey})
	is.Equal(plain.status, http.StatusOK) // what ends in time is served
	_ = group.Wait()
	is.NoErr(open.err)
	is.Equal(open.events(), eventNumbers(150)) // nothing in progress is cut
	is.Equal(s.entry.exitCode(), 0)
}
