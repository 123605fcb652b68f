// Package choice selects the backend server for a request from load reports
// that may be stale or missing. It takes the current time as an argument and
// does no I/O.
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
	// Running is the number of generations running on its engine. The choice does
	// not depend on it; it is listed in decision records.
	Running int
	// Waiting is the number of requests in its queue.
	Waiting int
	// MemoryPermille is the share of the engine's memory in use.
	MemoryPermille int
	// ForecastPermille is the share of the engine's memory that its generations
	// are forecast to reach. It may exceed 1000.
	ForecastPermille int
	// MeasuredAt is the time of the last load report. Zero means that no report
	// has arrived.
	MeasuredAt time.Time
	// SentSince is the number of requests that this entry host has sent to the
	// backend server since MeasuredAt.
	SentSince int
	// Leaving reports whether the backend server must get no new work: it is
	// draining, or connections to it failed recently.
	Leaving bool
	// HoldsPrefix reports whether the last load report lists the prefix of the
	// request's prompt as cached.
	HoldsPrefix bool
	// Refused reports whether an attempt to run this request on the backend server
	// has failed already, for instance by a refusal.
	Refused bool
	// RefusingUntil is the end of a refusal that applies to this request and to
	// others. Zero means that there is none.
	RefusingUntil time.Time
}

// Request describes the request for which a backend server is chosen.
type Request struct {
	// Zone is the availability zone of the entry host.
	Zone string
	// Region is the region of the entry host.
	Region string
	// Urgent reports whether the class of the request is urgent, that is, must be
	// answered without delay. The present rules treat urgent requests like others.
	Urgent bool
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// PrefixTokens is the length in tokens of the part of the prompt that a
	// prefix cache may hold.
	PrefixTokens int
}

// Rules are the weights and limits of the choice. Loads and score adjustments
// are in thousandths, where 1000 is an engine whose memory is full.
type Rules struct {
	// Choices is the number of candidates sampled at random. It must be at
	// least 1; no more than maxChoices are sampled.
	Choices int
	// LoadHalfLifeMillis is the age at which a reported load and the mean load
	// of all candidates have equal weight. It must be positive.
	LoadHalfLifeMillis int
	// WaitingPermille is the load added for each waiting request.
	WaitingPermille int
	// SentPermille is the load added for each request that was sent after the
	// load report.
	SentPermille int
	// ZonePermille is the score penalty of a candidate in another availability
	// zone.
	ZonePermille int
	// RegionPermille is the score penalty of a candidate in another region.
	RegionPermille int
	// PrefixPermille is the score reduction of a candidate that has the whole
	// prompt cached.
	PrefixPermille int
	// PrefixLimitPermille is the load from which a cached prefix no longer
	// reduces the score.
	PrefixLimitPermille int
}

// DefaultRules returns the rules of a service without configured routing.
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

// Decision is the outcome of a choice, either Chosen or None.
type Decision interface {
	decision()
}

// Chosen names the backend server to send the request to.
type Chosen struct {
	// Backend is the name of the backend server.
	Backend string
	// Reason is why it was chosen.
	Reason Reason
	// Considered holds the candidates that were compared.
	Considered []Considered
}

// None means that no backend server can take the request.
type None struct {
	// Reason is why there is none.
	Reason Reason
	// RetryAt is the earliest useful retry time.
	RetryAt time.Time
}

func (Chosen) decision() {}
func (None) decision()   {}

// Considered is a compared candidate with its load and score.
type Considered struct {
	// Backend is the name of the backend server.
	Backend string
	// LoadPermille is its estimated load: the reported load adjusted for its
	// age and for the requests sent since.
	LoadPermille int
	// ScorePermille is the load plus the penalty for distance minus the
	// reduction for a cached prefix. The candidate with the lowest score is
	// chosen.
	ScorePermille int
}

// Reason is why a backend server was chosen, or why none was.
type Reason int

// Reasons of both outcomes.
const (
	// ReasonLeastLoad means that the backend server had the lowest score of the
	// compared candidates.
	ReasonLeastLoad Reason = iota + 1
	// ReasonPrefix means that the backend server had the lowest score because
	// of its cached prefix.
	ReasonPrefix
	// ReasonOnly means that there was no other candidate.
	ReasonOnly
	// ReasonNoCandidate means that the service has no backend server.
	ReasonNoCandidate
	// ReasonAllLeaving means that every backend server of the service is
	// draining or unreachable.
	ReasonAllLeaving
	// ReasonAllRefused means that Refused or RefusingUntil excludes every backend
	// server that takes new work.
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
