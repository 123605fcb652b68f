package explanation

import "time"

// Decision is a decision about a request with its reason. It is sealed: only the
// types in this file implement it.
type Decision interface {
	// Kind returns the name of the kind of decision, as written to records.
	Kind() string
}

// Candidate is a backend server that was compared, with the state known at the
// time.
type Candidate struct {
	Backend          string
	AvailabilityZone string
	// SeenAt is the time of the load report. It is zero if there was none.
	SeenAt  time.Time `json:",omitzero"`
	Running uint32
	Waiting uint32
	// MemoryPermille and ForecastPermille are the used and the forecast share of
	// the engine's memory in thousandths.
	MemoryPermille   uint32
	ForecastPermille uint32
	// Score is always finite. The candidate with the lowest score is chosen.
	Score float64
	// Excluded is the reason why the candidate was not eligible. It is empty for
	// an eligible one.
	Excluded string
}

// Routed records that a request was sent to a backend server.
type Routed struct {
	Backend string
	Reason  string
	// Candidates are the compared backend servers, including the chosen one.
	Candidates []Candidate
}

// Waited records that a request was queued.
type Waited struct {
	Reason string
	// QueueLength is the number of requests ahead in the queue.
	QueueLength uint32
	// ForecastPermille is the share of memory that running the request was
	// forecast to reach, and LimitPermille the share allowed, in thousandths.
	ForecastPermille uint32
	LimitPermille    uint32
	// GiveUpAt is the time at which the request is refused if it is still queued.
	GiveUpAt time.Time
}

// Admitted records that a request was admitted to the engine.
type Admitted struct {
	Reason string
}

// Disturbed records that the connection to a backend server's owner broke, that the
// owner refused the request, or that a frame or a token was rejected.
type Disturbed struct {
	Backend string
	Reason  string
}

// Refused records that a request was refused without being run.
type Refused struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
	// RetryAt is the earliest useful retry time. It is zero if unknown.
	RetryAt time.Time `json:",omitzero"`
}

// Retried records that another attempt was made.
type Retried struct {
	// Attempt is the number of the attempt. The first retry is attempt 2.
	Attempt uint32
	// Backend is the backend server of the attempt that failed.
	Backend string
	Reason  string
}

// Preempted records that a generation was preempted to free memory.
type Preempted struct {
	Reason string
	// Position is the number of tokens produced so far.
	Position uint64
	// InFavourOf is the ID of the request that needed the memory. It is empty if
	// unknown.
	InFavourOf string
}

// Resumed records that the delivery of a generation was resumed from a position.
type Resumed struct {
	Backend     string
	Incarnation uint64
	Sequence    uint64
	From        uint64
	Reason      string
}

// Claimed records that an idempotency key was bound to a request.
type Claimed struct {
	Partition uint32
	Offset    uint64
	// BoundTo is the ID of the request that the key is bound to. If it differs
	// from the request ID of the record, the request of the record is not run.
	BoundTo string
	Backend string
	Reason  string
}

// Ended records the final result of a request.
type Ended struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code uint32
	// Outcome is the outcome of the result code: Complete, NotRun or Unknown.
	Outcome string
	Reason  string
	// Tokens is the number of delivered tokens.
	Tokens   uint64
	Attempts uint32
}

// Kind returns "Routed".
func (Routed) Kind() string { return "Routed" }

// Kind returns "Waited".
func (Waited) Kind() string { return "Waited" }

// Kind returns "Admitted".
func (Admitted) Kind() string { return "Admitted" }

// Kind returns "Disturbed".
func (Disturbed) Kind() string { return "Disturbed" }

// Kind returns "Refused".
func (Refused) Kind() string { return "Refused" }

// Kind returns "Retried".
func (Retried) Kind() string { return "Retried" }

// Kind returns "Preempted".
func (Preempted) Kind() string { return "Preempted" }

// Kind returns "Resumed".
func (Resumed) Kind() string { return "Resumed" }

// Kind returns "Claimed".
func (Claimed) Kind() string { return "Claimed" }

// Kind returns "Ended".
func (Ended) Kind() string { return "Ended" }
