// Package balancer picks backend servers for the requests of one entry host. It
// builds the candidates from the membership table, keeps track of the requests
// sent and of refusals, and holds the retry budget. Balancer implements
// dispatch.Picker; package choice compares the candidates.
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
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

const (
	// permille is a ratio of 1 in thousandths.
	permille = 1000
	// noCandidateMillis is the delay until a retry when no backend server is
	// available and no retry time is known.
	noCandidateMillis = 1000
)

// Balancer picks backend servers for one entry host. Its exported fields must
// be set before use. It is safe for concurrent use.
type Balancer struct {
	// Name, Zone and Region are those of the entry host.
	Name   string
	Zone   string
	Region string
	// Candidates is the maximum number of backend servers of one model or service
	// that the entry host routes to.
	Candidates int
	// Members is the membership table of the entry host.
	Members *membership.Table
	// Configuration returns the operator file in force, or nil if there is none yet.
	Configuration func() *operatorfile.Document
	// VersionSeen is called with the configuration version in a reply and the peer
	// address of the backend server that sent the reply.
	VersionSeen func(version uint64, address string)
	// CrashesSeen is called with the crashes in a load report, of which there is at least one. It
	// may be nil.
	CrashesSeen func([]*message.Crash)

	cache subsetCache

	mu sync.Mutex
	// random is nil before the first use.
	random *rand.Rand
	// sent is the number of requests sent to each backend server since its last
	// load report.
	sent map[string]int
	// refusingUntil holds the end of each refusal that also applies to other
	// requests of the same client account and class. Ended refusals are deleted
	// at the first refusal after pruneAt.
	refusingUntil map[refusal]time.Time
	pruneAt       time.Time
	budget        *retrybudget.Budget
	// applied is the operator file that the rules and the budget were set from.
	applied *operatorfile.Document
	rules   choice.Rules
}

// Pick returns a target, or the result that states why there is none.
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

// findCandidates returns the candidates for the request, and their members of the
// membership table by name. The caller holds the mutex.
func (b *Balancer) findCandidates(s dispatch.Selection, now time.Time) (map[string]membership.Member, []choice.Candidate) {
	snapshot := b.Members.Snapshot()
	kind := serverKind{service: s.Service}
	prefix := uint64(0)
	if s.Model != "" {
		kind = serverKind{model: s.Model}
		prefix = prompt.PrefixHash(s.Prompt)
	}
	names := b.subset(snapshot, kind)
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

// targetOf returns the chosen backend server with the compared candidates, which
// the decision record lists.
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

// applyConfiguration initializes the balancer on first use and sets its rules from
// the operator file in force if that is a new one. The caller holds the mutex.
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
