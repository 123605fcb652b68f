package httpserver

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// Faults of the head of a request.
var (
	// ErrMalformed marks a head whose reading could differ between two hosts.
	ErrMalformed = errors.New("malformed request head")
	// ErrHeadTooLarge says that a head is over the limit.
	ErrHeadTooLarge = errors.New("request head is too large")
)

// checkHead accepts the head of a request, up to and with its empty line, only
// when every HTTP reader agrees on where its body ends.
func checkHead(head []byte) error {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n"))
	if bytes.Count(lines[0], []byte(" ")) != 2 {
		return errors.Wrap(ErrMalformed, "request line has not three parts")
	}
	seen := make(map[string]int)
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return errors.Wrap(ErrMalformed, "bare control character")
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

// checkField checks one header line and returns its name in lower case.
func checkField(line []byte) (string, error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return "", errors.Wrap(ErrMalformed, "header line without a name")
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return "", errors.Wrap(ErrMalformed, "header name with an illegal character")
		}
	}
	lower := strings.ToLower(string(name))
	text := string(bytes.Trim(value, " \t"))
	if lower == "content-length" && !isDigits(text) {
		return "", errors.Wrap(ErrMalformed, "length is not a number")
	}
	if lower == "transfer-encoding" && !strings.EqualFold(text, "chunked") {
		return "", errors.Wrap(ErrMalformed, "unknown transfer encoding")
	}
	return lower, nil
}

func checkFraming(seen map[string]int) error {
	switch {
	case seen["host"] != 1:
		return errors.Wrap(ErrMalformed, "not exactly one host")
	case seen["content-length"] > 1 || seen["transfer-encoding"] > 1:
		return errors.Wrap(ErrMalformed, "repeated framing header")
	case seen["content-length"] > 0 && seen["transfer-encoding"] > 0:
		return errors.Wrap(ErrMalformed, "both length and chunks")
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

func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
}
