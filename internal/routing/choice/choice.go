// Package choice picks the backend server for a request from load that is old
// and incomplete. It holds no clock and does no I/O.
package choice

import "time"

// Candidate is a backend server as an entry host sees it.
type Candidate struct {
	// Name is the name of the backend server.
	Name string
	// Zone is its availability zone.
	Zone string
	// Region is its region.
	Region string
	// Running counts the generations on its engine.
	Running int
	// Waiting counts the requests in its queue.
	Waiting int
	// MemoryPermille is the share of the engine's memory in use.
	MemoryPermille int
	// ForecastPermille is the share that its generations are forecast to reach.
	// May be above 1000.
	ForecastPermille int
	// MeasuredAt is when the load was taken. Zero means that none is known.
	MeasuredAt time.Time
	// SentSince counts the requests that this entry host sent there after
	// MeasuredAt.
	SentSince int
	// Leaving tells whether it takes no new work.
	Leaving bool
	// HoldsPrefix tells whether its cache is believed to hold the prefix of the
	// request's prompt.
	HoldsPrefix bool
	// Refused tells whether it has refused this very request.
	Refused bool
	// RefusingUntil is the end of a refusal that holds for other requests too.
	// Zero means none.
	RefusingUntil time.Time
}

// Request is what the choice depends on.
type Request struct {
	// Zone is the availability zone of the entry host.
	Zone string
	// Region is the region of the entry host.
	Region string
	// Urgent tells whether the request's class must be answered at once.
	Urgent bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixTokens is the part of the prompt that a cache may hold.
	PrefixTokens int
}

// Rules shape the choice.
type Rules struct {
	// Choices is the number of candidates drawn at random. At least 1.
	Choices int
	// LoadHalfLifeMillis is the age at which a measured load counts half
	// against the mean of all. Must be positive.
	LoadHalfLifeMillis int
	// WaitingPermille is the load that one waiting request adds.
	WaitingPermille int
	// SentPermille is the load that one request adds that was sent after the
	// measurement.
	SentPermille int
	// ZonePermille is the load that another availability zone is held against.
	ZonePermille int
	// RegionPermille is the same for another region.
	RegionPermille int
	// PrefixPermille is the load that a cached prefix outweighs when the whole
	// prompt is cached.
	PrefixPermille int
	// PrefixLimitPermille is the load from which a cached prefix counts nothing.
	PrefixLimitPermille int
}

// DefaultRules returns the rules of a service that states none.
func DefaultRules() Rules {
	return Rules{
		Choices:             3,
		LoadHalfLifeMillis:  2000,
		WaitingPermille:     60,
		SentPermille:        40,
		ZonePermille:        30,
		RegionPermille:      300,
		PrefixPermille:      150,
		PrefixLimitPermille: 900,
	}
}

// Decision is the outcome of a choice: Chosen or None.
type Decision interface {
	decision()
}

// Chosen names the backend server to send the request to.
type Chosen struct {
	// Backend is the name of the backend server.
	Backend string
	// Reason tells why.
	Reason Reason
	// Considered holds the candidates that were compared.
	Considered []Considered
}

// None tells that no backend server can take the request.
type None struct {
	// Reason tells why.
	Reason Reason
	// RetryAt is the earliest useful time to come back.
	RetryAt time.Time
}

func (Chosen) decision() {}
func (None) decision()   {}

// Considered is a candidate with the figures that it was compared by.
type Considered struct {
	// Backend is the name of the backend server.
	Backend string
	// LoadPermille is its load after the discount for age.
	LoadPermille int
	// ScorePermille is the load with what distance adds and a cached prefix
	// takes off; the lowest wins.
	ScorePermille int
}

// Reason tells why a backend server was chosen, or none.
type Reason int

// Reasons of both outcomes.
const (
	// ReasonLeastLoad is given to the lowest load among those drawn.
	ReasonLeastLoad Reason = iota + 1
	// ReasonPrefix is given to one that won by its cached prefix.
	ReasonPrefix
	// ReasonOnly is given when no other candidate was left.
	ReasonOnly
	// ReasonNoCandidate is given when the service has no backend server.
	ReasonNoCandidate
	// ReasonAllLeaving is given when all of them are leaving.
	ReasonAllLeaving
	// ReasonAllRefused is given when all that remain have refused.
	ReasonAllRefused
)

// String returns the name of the reason in Pascal case.
func (r Reason) String() string {
	switch r {
	case ReasonLeastLoad:
		return "LeastLoad"
	case ReasonPrefix:
		return "Prefix"
	case ReasonOnly:
		return "Only"
	case ReasonNoCandidate:
		return "NoCandidate"
	case ReasonAllLeaving:
		return "AllLeaving"
	case ReasonAllRefused:
		return "AllRefused"
	default:
		return "Unknown"
	}
}
