// Package configversion makes all processes agree on the version of the operator
// file that is in force.
//
// Operators append proposals to one stream of the log with a Publisher. A proposal names
// the version that it replaces. Every Reader folds the stream in log order with the same
// pure function, State.Apply, and thus reaches the same Verdict on each proposal. A
// State covers a prefix of the stream, from its first record on.
//
// Retention drops the oldest records of the stream. Readers therefore also append
// snapshots of the state, from which other readers can start. If retention has dropped
// them too and no process holds a state, an operator publishes a restart, which puts in
// force a version that is higher than any before. The state from which a fold starts is
// its anchor.
//
// Most processes never read the log: their Exchanger receives the version from peers.
// The Register of a process holds the version in force.
package configversion

import (
	"encoding/json"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Stream is the name of the log stream that holds proposals, snapshots and restarts.
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
