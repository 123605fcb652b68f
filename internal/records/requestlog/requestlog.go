// Package requestlog reads the logs of processes and tells what happened to one
// request, over all of them, in order of time.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Message string
	// Process is the text before the line's JSON object, without spaces around
	// it; it may be empty.
	Process string
	// Request is the identity of the request; empty in a line of no request.
	Request string
	// Fields holds the other fields.
	Fields map[string]any
}

// Read returns the lines of a log. Lines that hold no JSON object are skipped
// and counted.
func Read(r io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	skipped := 0
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

// parse reads one line. What stands before its JSON object names the process.
func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Process: strings.TrimSpace(string(data[:start])), Fields: fields}
	line.Message, _ = fields["Message"].(string)
	line.Request, _ = fields["Request"].(string)
	text, _ := fields["Time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{"Time", "Level", "Message", "Request"} {
		delete(fields, name)
	}
	return line, true
}

// ForRequest returns the lines of one request, in order of time.
func ForRequest(lines []Line, request string) []Line {
	var found []Line
	for _, line := range lines {
		if line.Request == request {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}

// Write prints lines, each with the milliseconds since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		since := line.Time.Sub(lines[0].Time).Milliseconds()
		_, err := fmt.Fprintf(w, "%8d ms  %s%s%s\n", since, prefix(line.Process), line.Message, describe(line.Fields))
		if err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	return nil
}

func prefix(process string) string {
	if process == "" {
		return ""
	}
	return process + ": "
}

// describe lists fields in order of their names. Empty ones say nothing.
func describe(fields map[string]any) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		if value == "" || value == nil {
			continue
		}
		_, _ = fmt.Fprintf(&text, " %s=%v", name, value)
	}
	return text.String()
}

// Cause is a kind of failure with its number.
type Cause struct {
	Text  string
	Count int
	// Request is the first request that failed so.
	Request string
}

// failures are the messages of lines that end a request without its answer.
var failures = []string{"request refused", "stream lost", "answer lost"}

// Causes counts the failures between two times by cause, the most frequent
// first. A zero time bounds nothing.
func Causes(lines []Line, from, until time.Time) []Cause {
	byText := make(map[string]*Cause)
	for _, line := range lines {
		if !slices.Contains(failures, line.Message) || line.Time.Before(from) || (!until.IsZero() && line.Time.After(until)) {
			continue
		}
		text := line.Message
		if reason, ok := line.Fields["Reason"].(string); ok {
			text += ": " + reason
		}
		if _, ok := byText[text]; !ok {
			byText[text] = &Cause{Text: text, Request: line.Request}
		}
		byText[text].Count++
	}
	var causes []Cause
	for _, c := range byText {
		causes = append(causes, *c)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text))
	})
	return causes
}
