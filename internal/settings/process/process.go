// Package process defines the settings of one process: its addresses, its
// availability zone and its limits. A process reads its settings file once, when
// it starts. Entry and Backend are the settings of an entry host and of the process
// beside a backend server. DirectEntry and DirectBackend are those of the direct path,
// on which entry hosts send requests to backend servers themselves.
//
// A settings file gives durations as numbers, with the unit in the field name, because
// it cannot contain a deadline, which is a point in time. At run time the code stores
// deadlines instead of durations.
package process

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

// Fault is one reason why a settings file is invalid.
type Fault = validation.Fault

// Faults is the error for an invalid settings file.
type Faults = validation.Faults //nolint:errname // a list of faults, used as an error

// LoadEntry reads the settings of an entry host. The error is a *Faults when
// the file can be read and is invalid.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Wrap(err, "read entry host settings")
	}
	return ParseEntry(data)
}

// LoadBackend reads the settings of the process beside a backend server. The
// error is a *Faults when the file can be read and is invalid.
func LoadBackend(path string) (Backend, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Backend{}, errors.Wrap(err, "read backend server settings")
	}
	return ParseBackend(data)
}

// checkListeners records a fault for each listen address that another field has
// already.
func checkListeners(report *validation.Report, listeners []listener) {
	first := make(map[string]string, len(listeners))
	for _, l := range listeners {
		other, taken := first[l.Address]
		if taken && l.Address != "" {
			report.Add(l.Field, "has the same address as "+other)
			continue
		}
		first[l.Address] = l.Field
	}
}

// listener is an address that the process listens on.
type listener struct {
	// Field is the name of the settings field.
	Field   string
	Address string
}
