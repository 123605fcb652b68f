// Package configversion agrees on the version of the operator file that is in force.
//
// Operators publish proposals on one stream of the log. A proposal names the
// version that it replaces, and a pure fold over the stream in log order
// decides each one, so that every reader reaches the same verdict. Holders
// publish snapshots of the version in force, so that a reader can start after
// retention has dropped the history. Most processes never read the log: they
// hear of a version from peers.
package configversion

import (
	"encoding/json"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Stream is the name of the log stream that holds proposals and snapshots.
const Stream = "configuration"

// Configuration is one accepted version of the operator file. The zero value is the
// state before the first one. It is immutable.
type Configuration struct {
	// Version counts from 1. Zero means that nothing was accepted yet.
	Version uint64
	// ID names the proposal that was accepted.
	ID string
	// Author is who published the proposal.
	Author string
	// Document is the parsed operator file.
	Document operatorfile.Document

	// text is the operator file as JSON, from which Document was parsed.
	text json.RawMessage
}

// newConfiguration parses the document of an accepted proposal.
func newConfiguration(version uint64, id, author string, text json.RawMessage) (Configuration, error) {
	document, err := operatorfile.Parse(text)
	if err != nil {
		return Configuration{}, err
	}
	return Configuration{Version: version, ID: id, Author: author, Document: document, text: text}, nil
}
