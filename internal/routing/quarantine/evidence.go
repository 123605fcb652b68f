package quarantine

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// maxRequests bounds the requests that are kept of a trait for one server. More prove no more.
	maxRequests = minSoundRequests
	// maxReportSuspects bounds the traits of one report, so that its record stays far below the
	// size limit of the store.
	maxReportSuspects = 1024
	// maxRequestBytes bounds the request IDs in reports.
	maxRequestBytes = 24
	// maxProofCrashes bounds the crashes that a proof holds.
	maxProofCrashes = 8
)

// Loss is a request whose answer had not begun when its backend server ended, or was complete only
// shortly before.
type Loss struct {
	Request string
	// Traits are what other requests may have in common with it, as of Content.Traits.
	Traits []string
	// Answered says that the answer was complete.
	Answered bool
}

// Crash is the end of a backend server as this entry host saw it. Several crashes of the same
// server are one, whose losses were noticed one after the other.
type Crash struct {
	Server string
	Losses []Loss
	// AtUnixMillis is the time of day of the crash.
	AtUnixMillis int64
}

// Suspect is a trait of requests that were lost when a server ended.
type Suspect struct {
	Trait string
	// Depth orders the traits of a request, the most general first.
	Depth int
	// Sound says that the host had seen answers to requests with the trait shortly before. Unsure
	// says that it had not watched for long enough to know.
	Sound  bool
	Unsure bool
	// Requests are the IDs of up to maxRequests of these requests.
	Requests []string
}

// Report is what one entry host saw of the crash of a server.
type Report struct {
	// Slot is the number under which the report is recorded. A later one in the same slot
	// replaces it.
	Slot         int
	Server       string
	AtUnixMillis int64
	Suspects     []Suspect

	// knownAt is the time at which this process first knew of the crash; it is not recorded.
	knownAt boottime.Instant
}

// Proof is the evidence for which requests with a trait are refused. It is kept when the reports
// that it was made of are not.
type Proof struct {
	Trait string
	Depth int
	// Crashes are in order of time. There are at most maxProofCrashes, the oldest and the newest
	// ones.
	Crashes []ProofCrash
}

// ProofCrash is one crash of a Proof.
type ProofCrash struct {
	Server       string
	AtUnixMillis int64
	Sound        bool
	Unsure       bool
	Requests     []string
}

// Clearance says that evidence against a trait counts no more.
type Clearance struct {
	Trait string
	// ThroughUnixMillis is the time of day of the newest crash that does not count.
	ThroughUnixMillis int64
	// Released says that an operator has cleared the trait. Otherwise a request with it was
	// answered.
	Released bool
}

// Use says that requests with a trait were answered on some host shortly before a crash. Others may
// not have seen any.
type Use struct {
	Trait string
	// UntilUnixMillis is the time of day until which the trait counts as sound.
	UntilUnixMillis int64
}

// Deletion says that a record was deleted.
type Deletion struct{ Key string }

// Change is what an entry host has recorded: Report, Proof, Clearance, Use, Trial, Probe or Deletion.
type Change interface{ isChange() }

func (Report) isChange()    {}
func (Proof) isChange()     {}
func (Clearance) isChange() {}
func (Use) isChange()       {}
func (Trial) isChange()     {}
func (Probe) isChange()     {}
func (Deletion) isChange()  {}

// CrashesUnder returns the number of servers that crashed under a trait by recorded changes, and
// the time of day of the newest of these crashes. Those that were cleared don't count.
func CrashesUnder(changes []Change, trait string) (count int, newestUnixMillis int64) {
	clearedUnixMillis := int64(0)
	for _, change := range changes {
		if c, ok := change.(Clearance); ok && c.Trait == trait {
			clearedUnixMillis = c.ThroughUnixMillis
		}
	}
	servers := make(map[string]bool)
	add := func(server string, atUnixMillis int64) {
		if atUnixMillis > clearedUnixMillis {
			servers[server] = true
			newestUnixMillis = max(newestUnixMillis, atUnixMillis)
		}
	}
	for _, change := range changes {
		switch c := change.(type) {
		case Report:
			if slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Trait == trait }) {
				add(c.Server, c.AtUnixMillis)
			}
		case Proof:
			for _, crash := range c.Crashes {
				if c.Trait == trait {
					add(crash.Server, crash.AtUnixMillis)
				}
			}
		}
	}
	return len(servers), newestUnixMillis
}

// holds reports whether evidence of a time still counts. A time that no host would name comes
// from one whose time of day is far off.
func holds(atUnixMillis, nowUnixMillis int64) bool {
	return atUnixMillis > nowUnixMillis-evidenceMillis && atUnixMillis < nowUnixMillis+evidenceMillis
}

// newest returns the time of day of the newest crash.
func (p Proof) newest() int64 {
	return p.Crashes[len(p.Crashes)-1].AtUnixMillis
}

// after returns the proof without the crashes up to a time of day.
func (p Proof) after(throughUnixMillis int64) Proof {
	p.Crashes = slices.DeleteFunc(slices.Clone(p.Crashes), func(c ProofCrash) bool {
		return c.AtUnixMillis <= throughUnixMillis
	})
	return p
}

// NewReport returns the report of a crash that another process saw, or an error if it lacks what a
// decision needs.
func NewReport(server string, atUnixMillis int64, suspects []Suspect) (Report, error) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	r := Report{Slot: int(hash.Sum32() % maxReports), Server: server, AtUnixMillis: atUnixMillis, Suspects: suspects}
	return r, r.validate()
}

// validate returns an error if the report lacks what a decision needs.
func (r Report) validate() error {
	if r.Server == "" || len(r.Suspects) == 0 || len(r.Suspects) > maxReportSuspects {
		return errors.Newf("report of slot %d names server %q and %d suspects", r.Slot, r.Server, len(r.Suspects))
	}
	for _, s := range r.Suspects {
		if s.Trait == "" || s.Depth < 0 || !validRequests(s.Requests) {
			return errors.Newf("report of slot %d has a suspect without trait, depth or requests", r.Slot)
		}
	}
	return nil
}

// contains reports whether a report says at least as much as another one.
func (r Report) contains(other Report) bool {
	if r.Server != other.Server || r.AtUnixMillis != other.AtUnixMillis || len(r.Suspects) < len(other.Suspects) {
		return false
	}
	// Suspects are only added to a report, at its end. One may become sound or sure later.
	for n, s := range other.Suspects {
		known := r.Suspects[n]
		if known.Trait != s.Trait || len(known.Requests) < len(s.Requests) {
			return false
		}
		if (s.Sound && !known.Sound) || (known.Unsure && !s.Unsure) {
			return false
		}
		if !slices.Equal(known.Requests[:len(s.Requests)], s.Requests) {
			return false
		}
	}
	return true
}

// shortened returns a request ID of limited size, which callers choose.
func shortened(request string) string {
	if len(request) <= maxRequestBytes {
		return request
	}
	return digest(request)
}

// depthOf returns the depth of the trait at an index of a request's traits. Traits of the same
// kind have the same depth in all requests.
func depthOf(traits []string, index int) int {
	kind, _, found := strings.Cut(traits[index], kindSeparator)
	if !found {
		return firstPartDepth + index
	}
	if depth := slices.Index(kindsByDepth, kind); depth >= 0 {
		return depth
	}
	return lastDepth
}

// The depths of traits: the kinds in kindsByDepth, then the parts of prompts, then the whole
// request.
const (
	firstPartDepth = 16
	lastDepth      = 1024
)

var kindsByDepth = []string{kindTarget, kindAccount, kindBody, kindCall}
