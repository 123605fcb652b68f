// Package validation decodes JSON files strictly and collects every fault with
// its path.
//
// A file is read in passes: the structure is compared with the target type,
// the parts that fit are decoded over the defaults, and the decoded value is
// validated. Each pass adds its faults to the same list, so that a reader sees
// all of them at once.
package validation

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Report collects the faults of one file.
type Report struct {
	// faults holds at most one fault for each path.
	faults []Fault
	seen   map[string]bool
}

// New returns a report without faults.
func New() *Report {
	return &Report{seen: make(map[string]bool)}
}

// Add records a fault. A second fault at the same path is dropped, because it
// usually follows from the first.
func (r *Report) Add(path, text string) {
	if r.seen[path] {
		return
	}
	r.seen[path] = true
	r.faults = append(r.faults, Fault{Path: path, Text: text})
}

// Decode reads data into target, which points to a struct that holds the
// defaults. Parts that do not fit the type are recorded and left at their
// defaults. It reports false when nothing could be decoded, so that further
// passes have no meaning.
func (r *Report) Decode(data []byte, target any) bool {
	value, ok := r.compare(data, target)
	if !ok {
		return false
	}
	fitting, err := json.Marshal(value)
	if err != nil {
		r.Add("", errors.Wrap(err, "encode the fitting parts").Error())
		return false
	}
	if err := json.Unmarshal(fitting, target); err != nil {
		r.Add("", errors.Wrap(err, "decode").Error())
		return false
	}
	return true
}

// Err returns all faults as a *Faults, or nil when there are none.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return newFaults(r.faults)
}
