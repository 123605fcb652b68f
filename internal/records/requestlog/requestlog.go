// Package requestlog reads the logs of several processes and lists the log lines
// of one request in order of time. It also counts failures by cause.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Message string
	// Process is the text before the line's JSON object, without surrounding
	// spaces. It may be empty.
	Process string
	// Request is the request ID. It is empty in a line that belongs to no request.
	Request string
	// Fields holds the other fields, except the level.
	Fields map[string]any
}

// Read returns the lines of a log and the number of skipped lines. It skips lines
// without a JSON object or without a valid time.
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

// parse parses one line. The text before its JSON object is the name of the
// process.
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

// Write prints the lines, each with the milliseconds since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		since := line.Time.Sub(lines[0].Time).Milliseconds()
		_, err := fmt.Fprintf(w, "%8d ms  %s%s%s\n", since, prefix(line.Process), line.Message, describe(line.Fields))
		if err != nil {
			return errors.Wrap(err, "write log lines of the request")
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

// describe lists the fields in order of their names and omits empty ones.
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

// Cause is a cause of failure with the number of failures.
type Cause struct {
	Text  string
	Count int
	// Request is the ID of the first request that failed for this cause.
	Request string
}

// failures holds the messages of log lines that report a request without an answer
// or with a truncated one.
var failures = []string{"request refused", "stream lost", "answer lost"}

// Causes counts the failures between two times by cause, the most frequent cause
// first. A zero time means no limit.
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
