package validation

import (
	"cmp"
	"slices"
	"strings"
)

// Fault is one reason why a file is invalid.
type Fault struct {
	// Path is the path of the invalid value, for example Classes[2].Service. It is
	// empty when the fault concerns the file as a whole.
	Path string
	// Text describes the fault, without the path.
	Text string
	// Line is the line of a syntax error, which Text names, too; zero for other faults.
	Line int
}

// String returns the path and the text.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

// Faults is the error for an invalid file.
type Faults struct { //nolint:errname // a list of faults, used as an error
	// List is not empty and is ordered by path.
	List []Fault
}

// Error returns all faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func newFaults(list []Fault) *Faults {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b Fault) int {
		return cmp.Compare(a.Path, b.Path)
	})
	return &Faults{List: sorted}
}
