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

// scalarFits reports whether a string, number, boolean or null can be decoded
// into the type. Null is never accepted, because it would silently select the
// default.
func scalarFits(token json.Token, want reflect.Type) bool {
	switch value := token.(type) {
	case string:
		return want.Kind() == reflect.String
	case bool:
		return want.Kind() == reflect.Bool
	case json.Number:
		return numberFits(value, want.Kind())
	default:
		return false
	}
}

func numberFits(value json.Number, kind reflect.Kind) bool {
	switch kind {
	case reflect.Int, reflect.Int64:
		_, err := strconv.Atoi(value.String())
		return err == nil
	case reflect.Float64:
		_, err := value.Float64()
		return err == nil
	default:
		return false
	}
}

func typeText(want reflect.Type) string {
	switch want.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}

func tokenText(token json.Token) string {
	switch value := token.(type) {
	case string:
		return "the string " + strconv.Quote(value)
	case json.Number:
		return "the number " + value.String()
	case bool:
		return strconv.FormatBool(value)
	default:
		return "null"
	}
}

// syntaxFault returns the fault of a syntax error, with its line number.
func syntaxFault(data []byte, offset int64, err error) Fault {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("unexpected end of file")
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte{'\n'})
	return Fault{Text: fmt.Sprintf("line %d: %v", line, err), Line: line}
}
