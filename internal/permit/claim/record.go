package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Record is a record of a partition's stream: Lease, Batch or Unknown.
type Record interface{ isRecord() }

// Lease makes its holder the only one whose batches count, from its offset to
// the next lease record.
type Lease struct {
	// Holder is the name of the entry host.
	Holder string
	// HolderAddress is where other entry hosts reach the holder.
	HolderAddress string
	// Epoch is a random token of this tenure; a renewal repeats it.
	Epoch string
}

// Batch carries claims and rebinds. It counts only when the latest lease
// record before it has its epoch.
type Batch struct {
	// Epoch is that of the holder's lease.
	Epoch string
	// ID is random; it lets the holder find a batch whose append was not
	// answered.
	ID string
	// Claims bind keys that are not yet bound.
	Claims []Claim `json:",omitempty"`
	// Rebinds replace bindings whose owner never ran the request.
	Rebinds []Rebind `json:",omitempty"`
}

// Claim asks that a key be bound. The first valid claim of a key wins.
type Claim struct {
	// Key is the key's identity, see KeyOf.
	Key string
	// RequestID names the request.
	RequestID string
	// Backend is the name of the backend server that may run the request.
	Backend string
	// Incarnation is the only one of that backend server that may run it.
	Incarnation uint64
}

// Rebind replaces the binding of a key whose owner has answered that it
// refused the request and will never run it.
type Rebind struct {
	// Claim is the new binding.
	Claim
	// Refused is the offset of the binding in force that is replaced.
	Refused uint64
}

// Unknown stands for a record of a kind that this version does not know, or
// that cannot be read. It takes up an offset and has no effect.
type Unknown struct{}

func (Lease) isRecord()   {}
func (Batch) isRecord()   {}
func (Unknown) isRecord() {}

// envelope names the record's kind on the log: exactly one field is set.
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

// Decode reads a record. What cannot be read becomes Unknown, so that every
// reader passes over it alike.
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
