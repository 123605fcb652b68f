package explanation

import "time"

// Decision is what was decided for a request and why. It is sealed: the types
// in this file are all there are.
type Decision interface {
	// Kind returns the name of the decision in records.
	Kind() string
}

// Candidate is a backend server that was weighed, with the figures seen.
type Candidate struct {
	Backend          string
	AvailabilityZone string
	// SeenAt is the time of the load report, zero when there was none.
	SeenAt  time.Time `json:",omitzero"`
	Running uint32
	Waiting uint32
	// MemoryPermille and ForecastPermille are shares of the engine's memory in
	// thousandths, now and as forecast.
	MemoryPermille   uint32
	ForecastPermille uint32
	// Score is the figure compared, always finite; the least one is chosen.
	Score float64
	// Excluded is the reason for which it was not eligible, empty otherwise.
	Excluded string
}

// Routed says that a request was sent to a backend server.
type Routed struct {
	Backend string
	Reason  string
	// Candidates that were weighed, the chosen one included.
	Candidates []Candidate
}

// Waited says that a request was put in a queue.
type Waited struct {
	Reason string
	// QueueLength counts the requests ahead.
	QueueLength uint32
	// ForecastPermille is the share of memory that running the request was
	// forecast to reach, LimitPermille the share allowed, in thousandths.
	ForecastPermille uint32
	LimitPermille    uint32
	// GiveUpAt is the time at which the request is refused instead.
	GiveUpAt time.Time
}

// Admitted says that a request was given its place on the engine.
type Admitted struct {
	Reason string
}

// Disturbed says that a path broke, a reply was refused or a frame was rejected.
type Disturbed struct {
	Backend string
	Reason  string
}

// Refused says that a request was not run.
type Refused struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code   uint32
	Reason string
	// RetryAt is the earliest useful time to come back, zero when unknown.
	RetryAt time.Time `json:",omitzero"`
}

// Retried says that another attempt was made.
type Retried struct {
	// Attempt counts from 2.
	Attempt uint32
	// Backend server of the attempt that failed.
	Backend string
	Reason  string
}

// Preempted says that a generation was pushed aside to free memory.
type Preempted struct {
	Reason string
	// Position counts the tokens produced so far.
	Position uint64
	// InFavourOf is the request that needed the memory, empty when unknown.
	InFavourOf string
}

// Resumed says that a generation was read on from a position.
type Resumed struct {
	Backend     string
	Incarnation uint64
	Sequence    uint64
	From        uint64
	Reason      string
}

// Claimed says that an idempotency key was bound to a request.
type Claimed struct {
	Partition uint32
	Offset    uint64
	// BoundTo is the request that the key is bound to; another request than
	// the record's is not run.
	BoundTo string
	Backend string
	Reason  string
}

// Ended says how a request finished.
type Ended struct {
	// Code is a result code, see docs/RESULT-CODES.md.
	Code uint32
	// Outcome is complete, not run or unknown.
	Outcome string
	Reason  string
	// Tokens delivered.
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
