// Package answerhead is the one strict reading of the heads of HTTP answers, whoever sends them: backend servers,
// engines, the platform's store and its other services. Bytes that two readers could take for different answers are
// no answer. Reader reads the answers of one connection. Strict makes the transport of an HTTP client read in the
// same way.
package answerhead

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxBytes bounds the head of an answer with those of the informational answers before it.
	maxBytes = 64 << 10
	// leastStatus and mostStatus are the bounds of a status.
	leastStatus, mostStatus = 100, 599
)

// Errors of bytes that are no answer. They say nothing of whether the request has run.
var (
	// ErrNoAnswer marks the error of each of them.
	ErrNoAnswer = errors.New("bytes are no answer")
	// ErrMergedHeads says that a head was broken off and that another one followed it, so that neither of them is
	// known.
	ErrMergedHeads = errors.New("answer begins within the head of another one")
	// ErrTooLarge says that a head has no end in sight.
	ErrTooLarge = errors.New("head of an answer is too large")
)

// protocol is the beginning of a first line.
const protocol = "HTTP/"

var (
	// firstLine matches the first line of a head. Its first group is the status.
	firstLine = regexp.MustCompile(`^HTTP/1\.[01] ([0-9]{3})( [\t\x20-\x7e\x80-\xff]*)?$`)
	// statusLine matches the beginning of a head.
	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( |$)`)
)

// Check checks a head, with the empty line that ends it, and returns its status.
func Check(head []byte) (status int, err error) {
	status, err = check(head)
	if err != nil {
		return 0, errors.Mark(err, ErrNoAnswer)
	}
	return status, nil
}

func check(head []byte) (status int, err error) {
	first, rest := cutLine(head)
	status, err = checkFirst(first)
	if err != nil {
		return 0, err
	}
	var fields fields
	for {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return status, fields.checkFraming()
		}
		if err := fields.add(line); err != nil {
			return 0, err
		}
	}
}

// cutLine returns the first line and what follows it. A line ends with a line feed, mostly after a carriage return.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkFirst checks the first line and returns the status.
func checkFirst(line []byte) (int, error) {
	parts := firstLine.FindSubmatch(line)
	if parts == nil {
		return 0, errors.Newf("first line %.40q has no status", line)
	}
	if holdsStatusLine(string(line[len(protocol):])) {
		return 0, ErrMergedHeads
	}
	status, err := strconv.Atoi(string(parts[1]))
	if err != nil || status < leastStatus || status > mostStatus {
		return 0, errors.Newf("status %s is not between %d and %d", parts[1], leastStatus, mostStatus)
	}
	return status, nil
}

// holdsStatusLine reports whether a text holds the beginning of a head. The protocol's name is looked for
// first, as that costs less than the expression and few texts have it.
func holdsStatusLine(text string) bool {
	return strings.Contains(text, protocol) && statusLine.MatchString(text)
}

// fields holds what the fields of a head say of where the body ends.
type fields struct {
	// last is the name of the last field; empty before the first one.
	last string
	// length is the text of the declared length; empty for none.
	length  string
	chunked bool
}

// add checks the line of one field, or one that continues the value of the last field.
func (f *fields) add(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return f.addContinuation(line)
	}
	name, value, found := strings.Cut(string(line), ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return errors.Newf("field name %.40q is no token", name)
	}
	f.last = name
	text := strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if f.length != "" && f.length != text || !isNumber(text) {
			return errors.Newf("length %.40q is no number, or not the only one", text)
		}
		f.length = text
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	}
	return f.checkValue(text)
}

// addContinuation checks a line that continues the last value.
func (f *fields) addContinuation(line []byte) error {
	if f.last == "" || strings.EqualFold(f.last, "Content-Length") || strings.EqualFold(f.last, "Transfer-Encoding") {
		return errors.Newf("line %.40q continues no field that may be continued", line)
	}
	return f.checkValue(string(line))
}

// checkValue checks a value or a part of one.
func (f *fields) checkValue(text string) error {
	if !httpguts.ValidHeaderFieldValue(text) {
		return errors.Newf("value of field %s has a control character", f.last)
	}
	if holdsStatusLine(text) {
		return ErrMergedHeads
	}
	return nil
}

// checkFraming checks that only one field says where the body ends.
func (f *fields) checkFraming() error {
	if f.length != "" && f.chunked {
		return errors.New("both a length and chunks")
	}
	return nil
}

func isNumber(text string) bool {
	_, err := strconv.ParseUint(text, 10, 63)
	return err == nil
}

// endOf returns the size of the first head in bytes that were received: up to and with its empty line. It is zero
// while the head is not complete. The error says that it has no end in sight.
func endOf(seen []byte) (int, error) {
	for at := 0; ; {
		feed := bytes.IndexByte(seen[at:], '\n')
		if feed < 0 {
			break
		}
		at += feed + 1
		switch rest := seen[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1, nil
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2, nil
		}
	}
	if len(seen) >= maxBytes {
		return 0, errors.Mark(ErrTooLarge, ErrNoAnswer)
	}
	return 0, nil
}
