package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// brokenHeads returns the heads and bodies of answers that are none, by name.
func brokenHeads() map[string]string {
	const signed = "Fulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: s\r\nContent-Length: 2\r\n"
	status := func(text string) string { return "HTTP/1.1 " + text + "\r\n" + signed + "\r\nok" }
	line := func(text string) string { return "HTTP/1.1 200 OK\r\n" + signed + text + "\r\n\r\nok" }
	return map[string]string{
		"status 000":                           status("000 Trouble"),
		"status 099":                           status("099 Trouble"),
		"status 600":                           status("600 Trouble"),
		"status 999":                           status("999 Trouble"),
		"status 0000":                          status("0000 Trouble"),
		"status of two digits":                 status("20 OK"),
		"status with a sign":                   status("+20 OK"),
		"blank in a name":                      line("Bad Name: x"),
		"blank before the colon":               line("Transfer-Encoding : chunked"),
		"tab before the colon":                 line("Name\t: x"),
		"control byte in a name":               line("Na\x01me: x"),
		"zero byte in a name":                  line("Na\x00me: x"),
		"delete in a name":                     line("Na\x7fme: x"),
		"byte beyond ASCII in a name":          line("Na\xffme: x"),
		"no name":                              line(": x"),
		"no colon":                             line("Name"),
		"continued length":                     strings.Replace(line("Name: x"), "Length: 2", "Length: 2\r\n 1", 1),
		"continued first line":                 "HTTP/1.1 200 OK\r\n Name: x\r\n" + signed + "\r\nok",
		"control byte in a value":              line("Name: a\x01b"),
		"zero byte in a value":                 line("Name: a\x00b"),
		"carriage return in a value":           line("Name: a\rTransfer-Encoding: chunked"),
		"two lengths":                          line("Content-Length: 1"),
		"length and chunks":                    line("Transfer-Encoding: chunked"),
		"length with a sign":                   strings.Replace(line("Name: x"), "Length: 2", "Length: +2", 1),
		"broken line in an informational head": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + line("Name: x"),
	}
}

// TestCallWithBrokenHead guards against a caller that gets an answer for bytes that are none.
func TestCallWithBrokenHead(t *testing.T) {
	t.Parallel()
	s := newAdjustedSite(t, 1, 2, func(settings *process.DirectEntry) { settings.RetrySlack = 100_000 })
	ctx := context.Background()
	for name, text := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := replica.Faults{Raw: &replica.RawAnswer{Text: text}}
			s.setPlainFaults(raw)
			s.setEngineFaults(raw)
			before := len(s.arrivals())
			got := s.send(ctx, callerRequest{method: http.MethodPost, target: oncePath, id: "once-" + hexID(name), key: platformKey})
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.body, "")
			is.Equal(len(s.arrivals()), before+1) // it may have run, and is not sent again
			got = s.send(ctx, streamRequest("stream-"+hexID(name), 2))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			s.plainServices[1].SetFaults(replica.Faults{})
			got = s.send(ctx, callerRequest{method: http.MethodGet, target: plainPath, id: "again-" + hexID(name), key: platformKey})
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "whole answer of a plain service")
		})
	}
}

// TestCallWithContinuedLine guards against a line that continues a value and reaches callers as a field of its own.
func TestCallWithContinuedLine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newPlatformSite(t, 0, 1)
	const head = "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: s\r\nContent-Length: 2\r\n"
	s.setPlainFaults(replica.Faults{Raw: &replica.RawAnswer{Text: head + "Name: x\r\n\tTransfer-Encoding: chunked\r\n\r\nok"}})
	got := s.send(context.Background(), callerRequest{method: http.MethodPost, target: oncePath, id: "continued", key: platformKey})
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "ok")
	is.Equal(got.header.Get("Name"), "x Transfer-Encoding: chunked")
}

// hexID returns a name as a request ID.
func hexID(name string) string {
	return fmt.Sprintf("%x", name)
}

// TestStreamGoesOnWithBrokenHead guards against a stream that goes on with bytes that are no answer, where it
// is resumed or at the copy of its run.
func TestStreamGoesOnWithBrokenHead(t *testing.T) {
	t.Parallel()
	const events, brokenAfter, noticeMillis = 250, 100, 1500
	status := strings.Replace(brokenHeads()["status 000"], "ok", "id: 101\ndata: x\n\n", 1)
	name := strings.Replace(brokenHeads()["blank in a name"], "ok", "id: 101\ndata: x\n\n", 1)
	length := func(text string) string { return strings.Replace(text, "Length: 2", "Length: 17", 1) }
	for _, c := range []struct {
		name   string
		target string
		moved  bool
		text   string
	}{
		{"resumed, status", resumablePath, false, length(status)},
		{"resumed, name", resumablePath, false, length(name)},
		{"at the copy, status", streamPath, true, length(status)},
		{"at the copy, name", streamPath, true, length(name)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 2, 0)
			if !c.moved {
				s.setEngineFaults(replica.Faults{BreakAfter: brokenAfter})
			}
			await := s.streamInBackground("broken", c.target, events)
			e := s.activeEngine()
			s.setOthersFaults(e, replica.Faults{Raw: &replica.RawAnswer{Text: c.text}})
			if c.moved {
				e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
			}
			got := await()
			is.True(got.err != nil)
			received := got.events()
			is.Equal(strings.Join(received, " "), strings.Join(eventNumbers(len(received)), " ")) // each event once, in order
			is.True(!strings.Contains(got.body, "data: x"))
		})
	}
}

// TestEarlyAnswerWithoutLength guards against a caller that gets a part of an answer as a complete one: the
// server answers a long upload at once, without a length, and its connection ends before the upload has.
func TestEarlyAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Response-Signature: s\r\n"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Not-Executed: 1\r\n"
	const part = "part of an answer"
	for _, c := range []struct {
		name   string
		raw    replica.RawAnswer
		status int
	}{
		{"reset", replica.RawAnswer{Text: head + "\r\n" + part, Early: true, Reset: true}, http.StatusBadGateway},
		{"closed in order", replica.RawAnswer{Text: head + "\r\n" + part, Early: true}, http.StatusBadGateway},
		{"reset, whole upload", replica.RawAnswer{Text: head + "\r\n" + part, Reset: true}, http.StatusBadGateway},
		{"closed in order, whole upload", replica.RawAnswer{Text: head + "\r\n" + part}, http.StatusOK},
		{"closed in order, upload read late", replica.RawAnswer{Text: head + "\r\n" + part, Early: true, ReadsLate: true}, http.StatusOK},
		{"reset, upload read late", replica.RawAnswer{Text: head + "\r\n" + part, Early: true, ReadsLate: true, Reset: true}, http.StatusBadGateway},
		{"refusal, reset", replica.RawAnswer{Text: refusal + "\r\n" + part, Early: true, Reset: true}, http.StatusBadGateway},
		{"refusal, reset, whole upload", replica.RawAnswer{Text: refusal + "\r\n" + part, Reset: true}, http.StatusBadGateway},
		{"refusal, whole upload", replica.RawAnswer{Text: refusal + "\r\n" + part}, http.StatusServiceUnavailable},
		{"refusal with a length, reset", replica.RawAnswer{Text: refusal + "Content-Length: 17\r\n\r\n" + part, Early: true, Reset: true}, http.StatusServiceUnavailable},
		{"reset after a whole answer with a length", replica.RawAnswer{Text: head + "Content-Length: 17\r\n\r\n" + part, Early: true, Reset: true}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newPlatformSite(t, 0, 1)
			s.setPlainFaults(replica.Faults{Raw: &c.raw})
			upload := callerRequest{method: http.MethodPost, target: oncePath, id: "early", key: platformKey, body: strings.Repeat("b", crowdedBodyBytes)}
			got := s.send(context.Background(), upload)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.body == part, c.status == http.StatusOK)
			is.Equal(len(s.arrivals()), 1)
		})
	}
}
