package endtoend

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// logLine is a line of the log of a process.
type logLine struct {
	Time    time.Time
	Message string
	// Stopped says that a stream went on elsewhere as it heard that its run was stopped. Otherwise it
	// had waited for that in vain.
	Stopped bool
	// Millis and AheadMillis are the times of a migration, and of the copy before the run was stopped.
	Millis, AheadMillis int64
	// Verdict is that on the end of an answer without a length or chunks.
	Verdict string
}

// logLines returns the lines in the log of a process for which match returns true.
func (p *program) logLines(match func(logLine) bool) []logLine {
	p.t.Helper()
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		p.t.Fatal(err)
	}
	var lines []logLine
	for text := range bytes.Lines(log) {
		var line logLine
		if json.Unmarshal(text, &line) == nil && match(line) {
			lines = append(lines, line)
		}
	}
	return lines
}

// countLines returns the number of lines in the log of a process for which match returns true.
func (p *program) countLines(match func(logLine) bool) int {
	p.t.Helper()
	return len(p.logLines(match))
}

// loggedAt returns the time of the first log line with a message.
func (p *program) loggedAt(message string) time.Time {
	p.t.Helper()
	lines := p.logLines(func(l logLine) bool { return l.Message == message })
	if len(lines) == 0 {
		p.t.Fatalf("%s has not logged %q", p.name, message)
	}
	return lines[0].Time
}
