// Package operatorfile defines the operator file, the JSON file by which an operator
// configures a deployment: services, models, classes, client accounts, routing and
// policy. Parse decodes the file into a Document. The file is always applied as a whole.
package operatorfile

import "github.com/fulmarvalve/fulmarvalve/internal/settings/validation"

// Fault is one reason why an operator file is invalid.
type Fault = validation.Fault

// Faults is the error for an invalid operator file.
type Faults = validation.Faults //nolint:errname // a list of faults, used as an error

// Parse decodes and validates an operator file. Absent fields get their defaults.
// The error is a *Faults that lists every fault.
func Parse(data []byte) (Document, error) {
	report := validation.New()
	document := Document{Routing: DefaultRouting(), Policy: DefaultPolicy()}
	if !report.Decode(data, &document) {
		return Document{}, report.Err()
	}
	report.Validate(document)
	checkDuplicates(report, document)
	checkReferences(report, document)
	if err := report.Err(); err != nil {
		return Document{}, err
	}
	document.index = newIndex(document)
	return document, nil
}
