package validation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxFileBytes is the maximum size of a file. A larger one is rejected without
// being decoded.
const MaxFileBytes = 4 << 20

// maxDepth is the maximum nesting depth of arrays and objects.
const maxDepth = 32

// comparison compares a stream of JSON tokens with a Go type.
type comparison struct {
	decoder *json.Decoder
	report  *Report
	// depth is the number of arrays and objects that are open.
	depth int
}

// compare returns the parts of data that match the type of target. It returns
// false when data is not exactly one JSON object.
func (r *Report) compare(data []byte, target any) (any, bool) {
	if len(data) > MaxFileBytes {
		r.Add("", fmt.Sprintf("the file has %d bytes, the limit is %d", len(data), MaxFileBytes))
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	c := comparison{decoder: decoder, report: r}
	value, fits, err := c.value("", reflect.TypeOf(target).Elem())
	if err != nil {
		r.add(syntaxFault(data, decoder.InputOffset(), err))
		return nil, false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		r.add(syntaxFault(data, decoder.InputOffset(), errors.New("unexpected text after the object")))
		return nil, false
	}
	return value, fits
}

// value reads one value and returns the parts of it that match the type.
func (c *comparison) value(path string, want reflect.Type) (any, bool, error) {
	token, err := c.decoder.Token()
	if err != nil {
		return nil, false, err
	}
	if delim, ok := token.(json.Delim); ok {
		return c.nested(path, want, delim)
	}
	if want == nil {
		return nil, false, nil
	}
	if !scalarFits(token, want) {
		c.report.Add(path, fmt.Sprintf("expected %s, found %s", typeText(want), tokenText(token)))
		return nil, false, nil
	}
	return token, true, nil
}

// nested reads an array or object whose opening delimiter was already read.
func (c *comparison) nested(path string, want reflect.Type, opening json.Delim) (any, bool, error) {
	if c.depth == maxDepth {
		return nil, false, errors.Newf("nested deeper than %d levels", maxDepth)
	}
	c.depth++
	defer func() { c.depth-- }()
	if opening == '{' {
		return c.object(path, want)
	}
	return c.array(path, want)
}

// object reads the members of an object and its closing brace. If want is nil, it
// skips them.
func (c *comparison) object(path string, want reflect.Type) (any, bool, error) {
	fits := want != nil && want.Kind() == reflect.Struct
	if !fits && want != nil {
		c.report.Add(path, fmt.Sprintf("expected %s, found an object", typeText(want)))
	}
	members := make(map[string]any)
	seen := make(map[string]bool)
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return nil, false, err
		}
		name := fmt.Sprint(token)
		memberPath := joinPath(path, name)
		if seen[name] && fits {
			c.report.Add(memberPath, "duplicate field")
		}
		seen[name] = true
		value, ok, err := c.value(memberPath, c.member(memberPath, name, want, fits))
		if err != nil {
			return nil, false, err
		}
		if ok {
			members[name] = value
		}
	}
	_, err := c.decoder.Token()
	return members, fits, err
}

// member returns the type of the field with the given name. It returns nil for an
// unknown field, whose value is then skipped.
func (c *comparison) member(path, name string, want reflect.Type, fits bool) reflect.Type {
	if !fits {
		return nil
	}
	field, ok := want.FieldByName(name)
	if !ok || !field.IsExported() {
		c.report.Add(path, "unknown field")
		return nil
	}
	return field.Type
}

// array reads the elements of an array and its closing bracket.
func (c *comparison) array(path string, want reflect.Type) (any, bool, error) {
	var element reflect.Type
	fits := want != nil && want.Kind() == reflect.Slice
	if fits {
		element = want.Elem()
	} else if want != nil {
		c.report.Add(path, fmt.Sprintf("expected %s, found an array", typeText(want)))
	}
	elements := []any{}
	for i := 0; c.decoder.More(); i++ {
		value, ok, err := c.value(path+"["+strconv.Itoa(i)+"]", element)
		if err != nil {
			return nil, false, err
		}
		if !ok {
			value = emptyElement(element)
		}
		elements = append(elements, value)
	}
	_, err := c.decoder.Token()
	return elements, fits, err
}

// emptyElement returns the zero value of an element type. It replaces an element
// that does not match the type, so that later elements keep their positions and
// thus their paths.
func emptyElement(element reflect.Type) any {
	if element == nil {
		return nil
	}
	return reflect.Zero(element).Interface()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
