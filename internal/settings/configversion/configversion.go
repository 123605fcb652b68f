// Package configversion makes all processes agree on the version of the operator
// file that is in force.
//
// Operators append proposals to one stream of the log. A proposal names the version
// that it replaces. Every reader folds the stream in log order with the same pure
// function, and thus reaches the same verdict on each proposal. Readers also append
// snapshots of the version in force, so that other readers can start after retention
// has dropped the earlier records. Most processes never read the log: they receive
// the version from their peers.
package configversion

import (
	"encoding/json"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Stream is the name of the log stream that holds proposals and snapshots.
const Stream = "configuration"

// Configuration is one accepted version of the operator file. The zero value stands
// for no accepted version. It is immutable.
type Configuration struct {
	// Version counts from 1. Zero means that no version was accepted yet.
	Version uint64
	// ID is the ID of the accepted proposal or restart.
	ID string
	// Author is the operator who published it.
	Author string
	// Document is the parsed operator file.
	Document operatorfile.Document

	// text is the JSON from which Document was parsed.
	text json.RawMessage
}

// newConfiguration returns an accepted version. It fails when the document is
// invalid.
func newConfiguration(version uint64, id, author string, text json.RawMessage) (Configuration, error) {
	document, err := operatorfile.Parse(text)
	if err != nil {
		return Configuration{}, err
	}
	return Configuration{Version: version, ID: id, Author: author, Document: document, text: text}, nil
}
