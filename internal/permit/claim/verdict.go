package claim

// Verdict is the effect of a record on the state: Duplicate, Leased, Rejected,
// Accepted or Ignored.
type Verdict interface{ isVerdict() }

// Duplicate means that the offset had been applied before.
type Duplicate struct{}

// Leased means that the record's lease is now in force.
type Leased struct {
	// Lease is the lease in force.
	Lease Lease
}

// Rejected means that a batch has no effect, for every reader of the stream.
type Rejected struct {
	// Reason is why the batch was rejected.
	Reason RejectReason
}

// Accepted means that the lease of a batch was in force.
type Accepted struct {
	// Bound is the number of claims and rebinds of the batch that took effect.
	Bound int
}

// Ignored means that the record has no effect, since it is of an unknown kind or
// a lease without an epoch.
type Ignored struct{}

func (Duplicate) isVerdict() {}
func (Leased) isVerdict()    {}
func (Rejected) isVerdict()  {}
func (Accepted) isVerdict()  {}
func (Ignored) isVerdict()   {}

// RejectReason is why a batch was rejected.
type RejectReason int

const (
	// NoLease means that no lease record precedes the batch.
	NoLease RejectReason = iota + 1
	// OtherLease means that another lease is in force.
	OtherLease
	// LeaseExpired means that the holder's lease record is too old.
	LeaseExpired
)

// String returns the reason as text.
func (r RejectReason) String() string {
	switch r {
	case NoLease:
		return "no lease"
	case OtherLease:
		return "another holder's lease is in force"
	case LeaseExpired:
		return "lease has expired"
	default:
		return "unknown reason"
	}
}
