package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Record is a record of a partition's stream: a Lease, Batch or Unknown.
type Record interface{ isRecord() }

// Lease makes its holder the only one whose batches are accepted, from the offset
// of this record to that of the next lease record.
type Lease struct {
	// Holder is the name of the entry host.
	Holder string
	// HolderAddress is the address at which other entry hosts reach the holder.
	HolderAddress string
	// Epoch is a random token that identifies the lease. A renewal has the same
	// epoch.
	Epoch string
}

// Batch carries claims and rebinds. It is accepted only if the last lease record
// before it has the same epoch and was appended at most LeaseSeconds before it.
type Batch struct {
	// Epoch is the epoch of the holder's lease.
	Epoch string
	// ID is a random token. If the log did not answer the append of a batch, the
	// holder looks for the ID in the stream.
	ID string
	// Claims bind keys that have no binding yet.
	Claims []Claim `json:",omitempty"`
	// Rebinds replace bindings whose owner refused the request and will never run
	// it.
	Rebinds []Rebind `json:",omitempty"`
}

// Claim is a request to bind a key. Only the first valid claim of a key takes
// effect.
type Claim struct {
	// Key is the key identity, see KeyOf.
	Key string
	// RequestID identifies the request.
	RequestID string
	// Backend is the name of the backend server that may run the request.
	Backend string
	// Incarnation is the only incarnation of that backend server that may run the
	// request.
	Incarnation uint64
}

// Rebind replaces the binding of a key after the owner has answered that it
// refused the request and will never run it.
type Rebind struct {
	// Claim is the new binding.
	Claim
	// Refused is the offset of the binding to replace. The rebind has no effect
	// if another binding is in force.
	Refused uint64
}

// Unknown represents a record that cannot be decoded, or whose kind this version
// does not know. It takes up an offset and has no effect.
type Unknown struct{}

func (Lease) isRecord()   {}
func (Batch) isRecord()   {}
func (Unknown) isRecord() {}

// envelope is the encoded form of a record. Exactly one field is set; its name is
// the kind of the record.
type envelope struct {
	Lease *Lease `json:",omitempty"`
	Batch *Batch `json:",omitempty"`
}

// Encode returns the record as JSON.
func Encode(r Record) ([]byte, error) {
	var e envelope
	switch r := r.(type) {
	case Lease:
		e.Lease = &r
	case Batch:
		e.Batch = &r
	default:
		return nil, errors.Newf("encode record of type %T", r)
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode record")
}

// Decode decodes a record. Data that cannot be decoded becomes Unknown, so that
// all readers skip it in the same way.
func Decode(data []byte) Record {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Unknown{}
	}
	switch {
	case e.Lease != nil && e.Batch == nil:
		return *e.Lease
	case e.Batch != nil && e.Lease == nil:
		return *e.Batch
	default:
		return Unknown{}
	}
}
