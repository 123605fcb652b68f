// Package validation decodes JSON files strictly and reports every fault with its
// path.
//
// A file is processed in three passes: its structure is compared with the target
// type, the matching parts are decoded over the defaults, and the decoded value
// is validated. All passes add to one list of faults, so that the author of the
// file sees all of them at once.
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

// Add records a fault. A second fault at the same path is dropped, because it is
// usually a consequence of the first.
func (r *Report) Add(path, text string) {
	r.add(Fault{Path: path, Text: text})
}

func (r *Report) add(fault Fault) {
	if r.seen[fault.Path] {
		return
	}
	r.seen[fault.Path] = true
	r.faults = append(r.faults, fault)
}

// Decode decodes data into target, a pointer to a struct that holds the defaults.
// Parts that do not match the type are recorded as faults and keep their
// defaults. It returns false when nothing could be decoded; the value must then
// not be validated.
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
