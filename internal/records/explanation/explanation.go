// Package explanation keeps a typed record of every decision about a request, so
// that an operator can see why it was routed to a backend server, queued or
// refused. A process holds its latest records in a Ring, to which its parts add records
// with a Writer. Render returns the records of a request as text.
package explanation

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrKind means that a record names an unknown kind of decision.
var ErrKind = errors.New("unknown kind of decision")

// Record is one decision about one request.
type Record struct {
	Time time.Time
	// Process is the name of the host that decided.
	Process string
	// Part is the part of the process that decided.
	Part      string
	RequestID string
	// Decision is never nil.
	Decision Decision
}

// wireRecord is the JSON form of a record.
type wireRecord struct {
	Time      time.Time
	Process   string
	Part      string
	RequestID string
	Kind      string
	Decision  json.RawMessage
}

// MarshalJSON writes the record with the kind of its decision.
func (r Record) MarshalJSON() ([]byte, error) {
	if r.Decision == nil {
		return nil, errors.Wrap(ErrKind, "marshal record without decision")
	}
	decision, err := json.Marshal(r.Decision)
	if err != nil {
		return nil, errors.Wrap(err, "marshal decision")
	}
	return json.Marshal(wireRecord{
		Time:      r.Time,
		Process:   r.Process,
		Part:      r.Part,
		RequestID: r.RequestID,
		Kind:      r.Decision.Kind(),
		Decision:  decision,
	})
}

// UnmarshalJSON reads the format that MarshalJSON writes.
func (r *Record) UnmarshalJSON(text []byte) error {
	var wire wireRecord
	if err := json.Unmarshal(text, &wire); err != nil {
		return errors.Wrap(err, "unmarshal record")
	}
	decision, err := decode(wire.Kind, wire.Decision)
	if err != nil {
		return err
	}
	*r = Record{
		Time:      wire.Time,
		Process:   wire.Process,
		Part:      wire.Part,
		RequestID: wire.RequestID,
		Decision:  decision,
	}
	return nil
}

// decode returns the decision of the given kind.
func decode(kind string, text []byte) (Decision, error) {
	switch kind {
	case Routed{}.Kind():
		return decodeAs[Routed](text)
	case Waited{}.Kind():
		return decodeAs[Waited](text)
	case Admitted{}.Kind():
		return decodeAs[Admitted](text)
	case Disturbed{}.Kind():
		return decodeAs[Disturbed](text)
	case Refused{}.Kind():
		return decodeAs[Refused](text)
	case Retried{}.Kind():
		return decodeAs[Retried](text)
	case Preempted{}.Kind():
		return decodeAs[Preempted](text)
	case Resumed{}.Kind():
		return decodeAs[Resumed](text)
	case Claimed{}.Kind():
		return decodeAs[Claimed](text)
	case Ended{}.Kind():
		return decodeAs[Ended](text)
	default:
		return nil, errors.Wrapf(ErrKind, "read %q", kind)
	}
}

func decodeAs[D Decision](text []byte) (Decision, error) {
	var decision D
	if err := json.Unmarshal(text, &decision); err != nil {
		return nil, errors.Wrapf(err, "unmarshal %s", decision.Kind())
	}
	return decision, nil
}
