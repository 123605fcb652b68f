package claim

// Verdict is what a record did to the state: Repeated, Leased, Void, Counted
// or Ignored.
type Verdict interface{ isVerdict() }

// Duplicate says that the offset had been folded before.
type Duplicate struct{}

// Leased says that a lease record is now the one in force.
type Leased struct {
	// Lease is the one in force.
	Lease Lease
}

// Rejected says that a batch does not count, and never will.
type Rejected struct {
	// Reason tells why.
	Reason RejectReason
}

// Accepted says that the batch's lease was in force.
type Accepted struct {
	// Bound is how many claims and rebinds of the batch took effect.
	Bound int
}

// Ignored says that the record has no effect.
type Ignored struct{}

func (Duplicate) isVerdict() {}
func (Leased) isVerdict()    {}
func (Rejected) isVerdict()  {}
func (Accepted) isVerdict()  {}
func (Ignored) isVerdict()   {}

// RejectReason tells why a batch does not count.
type RejectReason int

const (
	// NoLease says that no lease record precedes the batch.
	NoLease RejectReason = iota + 1
	// OtherLease says that another holder's lease is in force.
	OtherLease
	// LeaseExpired says that the holder's lease record is too old.
	LeaseExpired
)

// String returns the reason in words.
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
