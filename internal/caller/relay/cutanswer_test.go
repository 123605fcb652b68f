package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/cutanswer"
)

const (
	cutLength  = answerHead + "Content-Length: 12\r\n\r\nwhole answer"
	cutChunked = answerHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6;e=1\r\nanswer\r\n0\r\n\r\n"
	cutTrailer = answerHead + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\nC\r\nwhole answer\r\n0\r\nT: 1\r\n\r\n"
	cutForeign = "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: other\r\nFulmarvalve-Response-Signature: o\r\nContent-Length: 5\r\n\r\nother"
	cutHints   = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// cutAnswers are answers to the request r, by their form. In each of them the end of the message shows.
var cutAnswers = map[string]struct{ method, text string }{
	"length":                      {http.MethodPost, cutLength},
	"length first":                {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nFulmarvalve-Response-Signature: s\r\n\r\nwhole answer"},
	"length over several digits":  {http.MethodPost, answerHead + "Content-Length: 120\r\n\r\n" + strings.Repeat("whole answer", 10)},
	"empty":                       {http.MethodPost, answerHead + "Content-Length: 0\r\n\r\n"},
	"closes":                      {http.MethodPost, answerHead + "Connection: close\r\nContent-Length: 12\r\n\r\nwhole answer"},
	"HTTP/1.0":                    {http.MethodPost, strings.Replace(cutLength, "HTTP/1.1", "HTTP/1.0", 1)},
	"chunked":                     {http.MethodPost, cutChunked},
	"chunked with a trailer":      {http.MethodPost, cutTrailer},
	"continued line":              {http.MethodPost, answerHead + "Content-Length: 0\r\nNote: a\r\n b\r\n\r\n"},
	"bare line feeds":             {http.MethodPost, strings.ReplaceAll(cutLength, "\r\n", "\n")},
	"no status text":              {http.MethodPost, strings.Replace(cutLength, "200 OK", "200 ", 1)},
	"head only":                   {http.MethodHead, answerHead + "Content-Length: 12\r\n\r\n"},
	"head only without a length":  {http.MethodHead, answerHead + "\r\n"},
	"no content":                  {http.MethodPost, strings.Replace(answerHead, "200 OK", "204 No Content", 1) + "\r\n"},
	"not modified":                {http.MethodGet, strings.Replace(answerHead, "200 OK", "304 Not Modified", 1) + "ETag: e\r\n\r\n"},
	"failure":                     {http.MethodPost, strings.Replace(cutLength, "200 OK", "500 Internal Server Error", 1)},
	"refusal":                     {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	"after hints":                 {http.MethodPost, cutHints + cutHints + cutLength},
	"after an answer to another":  {http.MethodPost, cutForeign + cutLength},
	"after two answers to others": {http.MethodPost, cutForeign + cutHints + cutForeign + cutChunked},
	"after a chunked answer": {http.MethodPost, "HTTP/1.1 200 OK\r\nFulmarvalve-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"1\r\no\r\n0\r\n\r\n" + cutLength},
}

// cutServer starts a server that answers with what is set. The function read sends it the request r.
func cutServer(t *testing.T) (set func(cutanswer.Answer), read func(method string) (*http.Response, string, error)) {
	t.Helper()
	answers := &cutanswer.Server{}
	server := httptest.NewServer(answers)
	t.Cleanup(server.Close)
	read = func(method string) (*http.Response, string, error) {
		before := answers.Requests()
		for {
			answer, body, err := readAt(t, server.Listener.Addr().String(), method)
			// A connection may take too long on a busy host; the server has then got nothing.
			if !errors.Is(err, ErrNotSent) || answers.Requests() > before {
				return answer, body, err
			}
		}
	}
	return answers.Set, read
}

// readAt reads the answer of the server at an address to the request r.
func readAt(t *testing.T, address, method string) (*http.Response, string, error) {
	t.Helper()
	call, err := Open(t.Context(), Outbound{ID: "r", Address: address, Method: method, Target: "/", Host: "desk"})
	if err != nil {
		return nil, "", err
	}
	defer call.Close()
	body, err := call.readBody(t.Context())
	return call.Answer, string(body), err
}

// TestCutAnswerIsNotWhole guards against an answer that its server broke off, within its head or its
// body, and that is taken for a whole one, or for one of a request that was not sent.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for name, tt := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			set, read := cutServer(t)
			for _, sent := range cutanswer.Cuts(tt.text, len(tt.text)) {
				set(sent)
				answer, body, err := read(tt.method)
				if err == nil {
					t.Fatalf("%v: got status %d with body %q, want an error", sent, answer.StatusCode, body)
				}
				is.True(!errors.Is(err, ErrNotSent))
			}
			set(cutanswer.Whole(tt.text))
			_, _, err := read(tt.method)
			is.NoErr(err)
		})
	}
}

// TestUnframedAnswerWithCutHeadIsNotWhole guards against an answer that ends with its connection, and
// that passes for whole although its head was cut. One that was reset is not whole either.
func TestUnframedAnswerWithCutHeadIsNotWhole(t *testing.T) {
	const text = answerHead + "Content-Type: text/plain\r\n\r\nwhole answer"
	is := is.New(t)
	set, read := cutServer(t)
	for _, sent := range cutanswer.Cuts(text, len(text)+1) {
		if !sent.Reset && sent.Bytes >= cutanswer.HeadBytes(text) {
			continue
		}
		set(sent)
		answer, body, err := read(http.MethodPost)
		if err == nil {
			t.Fatalf("%v: got status %d with body %q, want an error", sent, answer.StatusCode, body)
		}
		is.True(!errors.Is(err, ErrNotSent))
	}
}

// TestAnswerAfterCutAnswerToAnother guards against an answer that is put together from the beginning
// of an answer to another request and the answer that follows it.
func TestAnswerAfterCutAnswerToAnother(t *testing.T) {
	own := strings.Replace(cutLength, "200 OK", "500 Internal Server Error", 1)
	for name, before := range map[string]string{
		"answer":             cutForeign,
		"answer, late ID":    "HTTP/1.1 200 OK\r\nFulmarvalve-Response-Signature: o\r\nContent-Length: 5\r\nFulmarvalve-Request-Id: other\r\n\r\nother",
		"informational":      cutHints,
		"refusal":            "HTTP/1.1 503 Service Unavailable\r\nFulmarvalve-Not-Executed: 1\r\nFulmarvalve-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
		"chunked, no status": "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\nFulmarvalve-Request-Id: other\r\n\r\n1\r\no\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set, read := cutServer(t)
			for n := range len(before) + 1 {
				set(cutanswer.Whole(before[:n] + own))
				answer, body, err := read(http.MethodPost)
				if err != nil {
					continue
				}
				signatures := strings.Join(answer.Header.Values("Fulmarvalve-Response-Signature"), ",")
				if answer.StatusCode != http.StatusInternalServerError || body != "whole answer" || signatures != "s" {
					t.Errorf("%q before the answer: got status %d, signature %q, body %q", before[:n], answer.StatusCode, signatures, body)
				}
			}
		})
	}
}
