package validation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Lines returns the line, counted from 1, of each of the paths in a JSON file. A path that the file
// does not hold, such as that of a field that is missing, has the line of the innermost object or
// array around it. A path that the file holds twice has the line of the first one. Text after a syntax
// error is not searched.
func Lines(data []byte, paths []string) map[string]int {
	l := locator{decoder: json.NewDecoder(bytes.NewReader(data)), data: data, line: 1, wanted: make(map[string]bool)}
	l.decoder.UseNumber()
	for _, path := range paths {
		for ; path != "" && !l.wanted[path]; path = parentOf(path) {
			l.wanted[path] = true
		}
	}
	l.found = make(map[string]int, len(l.wanted))
	if len(data) <= MaxFileBytes {
		l.value("", 0)
	}
	lines := make(map[string]int, len(paths))
	for _, path := range paths {
		at := path
		for at != "" && l.found[at] == 0 {
			at = parentOf(at)
		}
		lines[path] = max(l.found[at], 1)
	}
	return lines
}

// parentOf returns the path of the object or array that holds the value of a path.
func parentOf(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// locator finds the lines of the values of a file.
type locator struct {
	decoder *json.Decoder
	data    []byte
	// offset is the offset up to which lines are counted, and line the line there.
	offset int64
	line   int
	// wanted holds the paths that are searched, with those around them.
	wanted map[string]bool
	found  map[string]int
}

// token reads the next token, and notes the line of its end.
func (l *locator) token() (json.Token, bool) {
	token, err := l.decoder.Token()
	if err != nil {
		return nil, false
	}
	at := l.decoder.InputOffset()
	l.line += bytes.Count(l.data[l.offset:at], []byte{'\n'})
	l.offset = at
	return token, true
}

func (l *locator) note(path string) {
	if l.wanted[path] && l.found[path] == 0 {
		l.found[path] = l.line
	}
}

// value reads the value of a path, and returns false at a syntax error.
func (l *locator) value(path string, depth int) bool {
	token, ok := l.token()
	if !ok {
		return false
	}
	l.note(path)
	opening, nested := token.(json.Delim)
	if !nested {
		return true
	}
	if depth == maxDepth {
		return false
	}
	for i := 0; l.decoder.More(); i++ {
		at := ""
		if opening == '[' {
			at = path + "[" + strconv.Itoa(i) + "]"
		} else {
			name, ok := l.token()
			if !ok {
				return false
			}
			at = joinPath(path, fmt.Sprint(name))
			l.note(at)
		}
		if !l.value(at, depth+1) {
			return false
		}
	}
	_, ok = l.token()
	return ok
}
