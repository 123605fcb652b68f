package httpserver

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Errors of reading the head of a request: its request line and headers.
var (
	// ErrMalformed marks a request head that two HTTP implementations could
	// parse differently.
	ErrMalformed = errors.New("malformed request head")
	// ErrHeadTooLarge means that a request head exceeds the size limit.
	ErrHeadTooLarge = errors.New("request head is too large")
)

// checkHead checks a request head, including its terminating empty line. It
// accepts only heads for which every HTTP parser agrees on where the body ends,
// to rule out request smuggling.
func checkHead(head []byte) error {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n"))
	if spaces := bytes.Count(lines[0], []byte(" ")); spaces != 2 {
		return errors.Wrapf(ErrMalformed, "request line has %d parts, want 3", spaces+1)
	}
	seen := make(map[string]int)
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return errors.Wrap(ErrMalformed, "header line with a bare CR, LF or NUL")
		}
		if i == 0 {
			continue
		}
		name, err := checkField(line)
		if err != nil {
			return err
		}
		seen[name]++
	}
	return checkFraming(seen)
}

// checkField checks one header line and returns the header name in lower case.
func checkField(line []byte) (string, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return "", errors.Wrap(ErrMalformed, "header line without a name")
	}
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return "", errors.Wrap(ErrMalformed, "header name with an illegal character")
	}
	lower := strings.ToLower(string(name))
	text := string(bytes.Trim(value, " \t"))
	if lower == "content-length" && !isDigits(text) {
		return "", errors.Wrap(ErrMalformed, "Content-Length is not a number")
	}
	if lower == "transfer-encoding" && !strings.EqualFold(text, "chunked") {
		return "", errors.Wrap(ErrMalformed, "unsupported Transfer-Encoding")
	}
	return lower, nil
}

// checkFraming checks how often the headers that determine the target host and
// the body length occur. seen counts the headers by lower-case name.
func checkFraming(seen map[string]int) error {
	switch {
	case seen["host"] != 1:
		return errors.Wrapf(ErrMalformed, "%d Host headers, want exactly 1", seen["host"])
	case seen["content-length"] > 1 || seen["transfer-encoding"] > 1:
		return errors.Wrap(ErrMalformed, "repeated Content-Length or Transfer-Encoding header")
	case seen["content-length"] > 0 && seen["transfer-encoding"] > 0:
		return errors.Wrap(ErrMalformed, "both Content-Length and Transfer-Encoding")
	default:
		return nil
	}
}

func isDigits(text string) bool {
	if text == "" {
		return false
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
