package operatorfile

import (
	"fmt"
	"reflect"
	"strconv"
)

// Difference is one value of an operator file that differs from that of another file.
type Difference struct {
	// Path is the path of the value. Items of lists are named, not numbered, as their order does not
	// matter: Classes["booking"].Priority.
	Path string
	// Before and After are the values; empty when the item or field is in one of the files only.
	Before, After string
}

// String returns the path and the values.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return d.Path + ": added " + d.After
	case d.After == "":
		return d.Path + ": removed " + d.Before
	default:
		return d.Path + ": " + d.Before + " becomes " + d.After
	}
}

// Differences returns what changes when a document replaces another one. Absent fields have their
// defaults.
func Differences(before, after Document) []Difference {
	c := &differ{}
	c.fields("", reflect.ValueOf(before), reflect.ValueOf(after))
	return c.list
}

// differ collects the differences of two documents.
type differ struct {
	list []Difference
	// values counts the values that were compared. It bounds the work.
	values int
}

// fields compares the exported fields of two structs of the same type.
func (c *differ) fields(path string, before, after reflect.Value) {
	for _, field := range reflect.VisibleFields(before.Type()) {
		if field.IsExported() {
			at := field.Name
			if path != "" {
				at = path + "." + field.Name
			}
			c.value(at, before.FieldByIndex(field.Index), after.FieldByIndex(field.Index))
		}
	}
}

// value compares two values of the same type.
func (c *differ) value(path string, before, after reflect.Value) {
	c.values++
	switch before.Kind() {
	case reflect.Struct:
		c.fields(path, before, after)
	case reflect.Slice:
		c.items(path, before, after)
	default:
		if !before.Equal(after) {
			c.list = append(c.list, Difference{Path: path, Before: text(before), After: text(after)})
		}
	}
}

// items compares two lists whose items have distinct names.
func (c *differ) items(path string, before, after reflect.Value) {
	earlier := make(map[string]int, before.Len())
	for i := range before.Len() {
		earlier[nameOf(before.Index(i))] = i
	}
	for i := range after.Len() {
		item := after.Index(i)
		name := nameOf(item)
		at := path + "[" + strconv.Quote(name) + "]"
		if j, known := earlier[name]; known {
			delete(earlier, name)
			c.value(at, before.Index(j), item)
			continue
		}
		c.values++
		c.list = append(c.list, Difference{Path: at, After: text(item)})
	}
	for i := range before.Len() {
		name := nameOf(before.Index(i))
		if j, left := earlier[name]; left && j == i {
			c.values++
			c.list = append(c.list, Difference{Path: path + "[" + strconv.Quote(name) + "]", Before: text(before.Index(i))})
		}
	}
}

// nameOf returns what identifies an item of a list.
func nameOf(item reflect.Value) string {
	switch v := item.Interface().(type) {
	case Call:
		return v.Method + " " + v.Path
	case string:
		return v
	default:
		return item.FieldByName("Name").String()
	}
}

// text returns a value in the form in which differences show it.
func text(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return strconv.Quote(v.String())
	}
	return fmt.Sprintf("%+v", v.Interface())
}
