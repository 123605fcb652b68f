// Package balancer applies the routing decision to what one entry host knows:
// it draws candidates from the membership table, remembers what it sent and who
// refused, and keeps the retry budget.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/choice"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/retrybudget"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

const (
	// permille is the number of parts of a whole.
	permille = 1000
	// noCandidateMillis is when a service without a backend server is worth
	// another try.
	noCandidateMillis = 1000
)

// Balancer picks backend servers for one entry host. Its exported fields must
// be set before use. It is safe for concurrent use.
type Balancer struct {
	// Name, Zone and Region are those of the entry host.
	Name   string
	Zone   string
	Region string
	// Candidates bounds the backend servers that are weighed.
	Candidates int
	Members    *membership.Table
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *operatorfile.Document
	// VersionSeen takes the configuration version that a reply carried and the
	// address that it came from.
	VersionSeen func(version uint64, address string)

	cache subsetCache

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
	budget        *retrybudget.Budget
	// applied is the document that the rules were taken from.
	applied *operatorfile.Document
	rules   choice.Rules
}

// Pick returns a target or why there is none.
func (b *Balancer) Pick(s dispatch.Selection, now time.Time) (dispatch.Target, *resultcode.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyConfiguration()
	members, candidates := b.findCandidates(s, now)
	request := choice.Request{
		Zone:         b.Zone,
		Region:       b.Region,
		Urgent:       s.Urgent,
		PromptTokens: prompt.Tokens(s.Prompt),
		PrefixTokens: prompt.PrefixTokens(s.Prompt),
	}
	switch d := choice.Choose(request, candidates, b.rules, b.random, now).(type) {
	case choice.Chosen:
		b.sent[d.Backend]++
		return targetOf(d, members, candidates), nil
	case choice.None:
		return dispatch.Target{}, noneResult(s, d, now)
	default:
		return dispatch.Target{}, resultcode.New(resultcode.NoBackend, "no decision")
	}
}

// findCandidates returns the candidates for the request with what is known of them.
func (b *Balancer) findCandidates(s dispatch.Selection, now time.Time) (map[string]membership.Member, []choice.Candidate) {
	snapshot := b.Members.Snapshot()
	of := serverKind{service: s.Service}
	prefix := uint64(0)
	if s.Model != "" {
		of = serverKind{model: s.Model}
		prefix = prompt.PrefixHash(s.Prompt)
	}
	names := b.subset(snapshot, of)
	members := make(map[string]membership.Member, len(names))
	candidates := make([]choice.Candidate, 0, len(names))
	for _, name := range names {
		m, found := snapshot.Find(name)
		if !found {
			continue
		}
		members[name] = m
		candidates = append(candidates, b.candidate(&m, s, prefix, now))
	}
	return members, candidates
}

func (b *Balancer) candidate(m *membership.Member, s dispatch.Selection, prefix uint64, now time.Time) choice.Candidate {
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
		SentSince:        b.sent[name],
		Leaving:          !m.Eligible(now),
		HoldsPrefix:      prefix != 0 && containsPrefix(m.Load.Prefixes, prefix),
		Refused:          s.Refused[name],
		RefusingUntil:    b.refusingUntil[refusalOf(s, name)],
	}
}

func containsPrefix(prefixes []uint64, wanted uint64) bool {
	for _, p := range prefixes {
		if p == wanted {
			return true
		}
	}
	return false
}

// targetOf describes the choice for the runner and for the decision record.
func targetOf(d choice.Chosen, members map[string]membership.Member, candidates []choice.Candidate) dispatch.Target {
	chosen := members[d.Backend]
	scores := make(map[string]choice.Considered, len(d.Considered))
	for _, c := range d.Considered {
		scores[c.Backend] = c
	}
	target := dispatch.Target{
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

func noneResult(s dispatch.Selection, d choice.None, now time.Time) *resultcode.Result {
	retryAt := d.RetryAt
	if retryAt.IsZero() {
		retryAt = now.Add(noCandidateMillis * time.Millisecond)
	}
	return resultcode.New(resultcode.NoBackend, "no backend server for service %s: %s", s.Service, d.Reason).
		WithRetryAt(retryAt)
}

// applyConfiguration takes the rules of a new document. The caller holds the mutex.
func (b *Balancer) applyConfiguration() {
	if b.random == nil {
		b.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		b.sent = make(map[string]int)
		b.refusingUntil = make(map[refusal]time.Time)
		b.rules = choice.DefaultRules()
		b.budget = &retrybudget.Budget{Rules: retrybudget.DefaultRules()}
		b.budget.Fill()
	}
	document := b.Configuration()
	if document == nil || document == b.applied {
		return
	}
	b.applied = document
	b.rules = rulesOf(document.Routing)
	b.budget.Rules = retryRulesOf(document.Routing)
}
