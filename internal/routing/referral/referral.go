// Package referral applies the routing decision to what one entry host knows:
// it draws candidates from the roster, remembers what it sent and who refused,
// and keeps the retry budget.
package referral

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/allowance"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/roster"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/visit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

const (
	// permille is the number of parts of a whole.
	permille = 1000
	// noCandidateMillis is when a service without a backend server is worth
	// another try.
	noCandidateMillis = 1000
)

// Referral picks backend servers for one entry host. Its exported fields must
// be set before use. It is safe for concurrent use.
type Referral struct {
	// Name, Zone and Region are those of the entry host.
	Name   string
	Zone   string
	Region string
	// Candidates bounds the backend servers that are weighed.
	Candidates int
	Roster     *roster.Roster
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *agreement.Document
	// VersionSeen takes the configuration version that a reply carried and the
	// address that it came from.
	VersionSeen func(version uint64, address string)

	watch watch

	mu sync.Mutex
	// random is nil before the first use.
	random *rand.Rand
	// sent counts what was sent to each backend server since its last load.
	sent map[string]int
	// refusingUntil holds the ends of refusals that hold for other requests of
	// their client account and class too. Those that have ended are dropped at
	// pruneAt.
	refusingUntil map[refusal]time.Time
	pruneAt       time.Time
	budget        *allowance.Budget
	// applied is the document that the rules were taken from.
	applied *agreement.Document
	rules   choice.Rules
}

// Pick returns a target or why there is none.
func (r *Referral) Pick(s visit.Selection, now time.Time) (visit.Target, *receipt.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	members, candidates := r.survey(s, now)
	request := choice.Request{
		Zone:         r.Zone,
		Region:       r.Region,
		Urgent:       s.Urgent,
		PromptTokens: prompt.Tokens(s.Prompt),
		PrefixTokens: prompt.PrefixTokens(s.Prompt),
	}
	switch d := choice.Choose(request, candidates, r.rules, r.random, now).(type) {
	case choice.Chosen:
		r.sent[d.Backend]++
		return targetOf(d, members, candidates), nil
	case choice.None:
		return visit.Target{}, noneResult(s, d, now)
	default:
		return visit.Target{}, receipt.New(receipt.NoBackend, "no decision")
	}
}

// survey returns the candidates for the request with what is known of them.
func (r *Referral) survey(s visit.Selection, now time.Time) (map[string]roster.Member, []choice.Candidate) {
	snapshot := r.Roster.Snapshot()
	of := kind{service: s.Service}
	prefix := uint64(0)
	if s.Model != "" {
		of = kind{model: s.Model}
		prefix = prompt.PrefixHash(s.Prompt)
	}
	names := r.subset(snapshot, of)
	members := make(map[string]roster.Member, len(names))
	candidates := make([]choice.Candidate, 0, len(names))
	for _, name := range names {
		m, found := snapshot.Find(name)
		if !found {
			continue
		}
		members[name] = m
		candidates = append(candidates, r.candidate(&m, s, prefix, now))
	}
	return members, candidates
}

func (r *Referral) candidate(m *roster.Member, s visit.Selection, prefix uint64, now time.Time) choice.Candidate {
	name := m.Host.Name
	return choice.Candidate{
		Name:             name,
		Zone:             m.Host.AvailabilityZone,
		Region:           m.Host.Region,
		Running:          int(m.Load.Running),
		Waiting:          int(m.Load.Waiting),
		MemoryPermille:   int(m.Load.MemoryPermille),
		ForecastPermille: int(m.Load.ForecastPermille),
		MeasuredAt:       m.SeenAt,
		SentSince:        r.sent[name],
		Leaving:          !m.Eligible(now),
		HoldsPrefix:      prefix != 0 && holds(m.Load.Prefixes, prefix),
		Refused:          s.Refused[name],
		RefusingUntil:    r.refusingUntil[refusalOf(s, name)],
	}
}

func holds(prefixes []uint64, wanted uint64) bool {
	for _, p := range prefixes {
		if p == wanted {
			return true
		}
	}
	return false
}

// targetOf describes the choice for the runner and for the decision record.
func targetOf(d choice.Chosen, members map[string]roster.Member, candidates []choice.Candidate) visit.Target {
	chosen := members[d.Backend]
	scores := make(map[string]choice.Considered, len(d.Considered))
	for _, c := range d.Considered {
		scores[c.Backend] = c
	}
	target := visit.Target{
		Backend:     d.Backend,
		PeerAddress: chosen.Host.PeerAddress,
		Incarnation: chosen.Incarnation,
		Reason:      d.Reason.String(),
	}
	for _, c := range candidates {
		considered, compared := scores[c.Name]
		if !compared {
			continue
		}
		target.Candidates = append(target.Candidates, explanation.Candidate{
			Backend:          c.Name,
			AvailabilityZone: c.Zone,
			SeenAt:           c.MeasuredAt,
			Running:          uint32(c.Running),
			Waiting:          uint32(c.Waiting),
			MemoryPermille:   uint32(c.MemoryPermille),
			ForecastPermille: uint32(c.ForecastPermille),
			Score:            float64(considered.ScorePermille) / permille,
		})
	}
	return target
}

func noneResult(s visit.Selection, d choice.None, now time.Time) *receipt.Result {
	retryAt := d.RetryAt
	if retryAt.IsZero() {
		retryAt = now.Add(noCandidateMillis * time.Millisecond)
	}
	return receipt.New(receipt.NoBackend, "no backend server for service %s: %s", s.Service, d.Reason).
		WithRetryAt(retryAt)
}

// adopt takes the rules of a new document. The caller holds the mutex.
func (r *Referral) adopt() {
	if r.random == nil {
		r.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		r.sent = make(map[string]int)
		r.refusingUntil = make(map[refusal]time.Time)
		r.rules = choice.DefaultRules()
		r.budget = &allowance.Budget{Rules: allowance.DefaultRules()}
		r.budget.Fill()
	}
	document := r.Configuration()
	if document == nil || document == r.applied {
		return
	}
	r.applied = document
	r.rules = rulesOf(document.Routing)
	r.budget.Rules = allowanceOf(document.Routing)
}
