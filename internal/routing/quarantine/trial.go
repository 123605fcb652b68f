package quarantine

import (
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// trialMillis is the time from the newest crash until the first trial of a trait, and
	// soundTrialMillis the same for a trait that was in use before. Each further trial comes
	// after twice the time of the one before, up to maxTrialMillis.
	trialMillis      = 60_000
	soundTrialMillis = 15_000
	maxTrialMillis   = 600_000
	// claimMillis is the time within which the host that has claimed a trial may let a request
	// pass.
	claimMillis = 10_000
	// unusedMillis is the time from a claim after which the trial is repeated if it had no
	// result: no request came, or none was run.
	unusedMillis = 20_000
	// settleMillis is the time from the read of the own claim until it is used. Claims of
	// other hosts that were made at the same time arrive meanwhile, and the newest one holds.
	settleMillis = 200
)

// Trial is the claim of an entry host to let one request with a quarantined trait pass. If it is
// answered, the quarantine ends. The newest claim of a trait holds.
type Trial struct {
	Trait string
	// Host is the Table.Host of the process.
	Host uint64
	// Count is the number of trials of the trait so far, with this one.
	Count int
	// ClaimedAtUnixMillis is the time of day of the claim.
	ClaimedAtUnixMillis int64
}

// trialState is the newest trial of a trait.
type trialState struct {
	Trial
	// readAt is the time at which the claim was read from the store; zero before that.
	readAt boottime.Instant
	// used says that this host has let a request pass.
	used bool
}

// TrialDecision is the result of TryTrial.
type TrialDecision interface{ isTrialDecision() }

// NoTrial says that the request must be refused.
type NoTrial struct{}

// ClaimTrial says that the request must be refused, and that the claim is to be recorded.
type ClaimTrial struct{ Trial Trial }

// PassTrial says that the request may be sent to an engine as the trial.
type PassTrial struct{}

func (NoTrial) isTrialDecision()    {}
func (ClaimTrial) isTrialDecision() {}
func (PassTrial) isTrialDecision()  {}

// TryTrial decides whether a request with quarantined traits passes as a trial. All entry hosts
// together let one request pass at a time. A request with several quarantined traits does not
// pass, as its crash would not say which of them caused it.
func (t *Table) TryTrial(traits []string, now boottime.Instant, nowUnixMillis int64) TrialDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	trait, single := t.onlyQuarantined(traits)
	if !single {
		return NoTrial{}
	}
	state := t.trials[trait]
	if state.mayPass(t.Host, now, nowUnixMillis) {
		state.used = true
		return PassTrial{}
	}
	count, dueUnixMillis := t.nextTrial(trait)
	if nowUnixMillis < dueUnixMillis {
		return NoTrial{}
	}
	claim := Trial{Trait: trait, Host: t.Host, Count: count, ClaimedAtUnixMillis: nowUnixMillis}
	t.setTrial(&trialState{Trial: claim})
	return ClaimTrial{claim}
}

// onlyQuarantined returns the quarantined one of the traits, and false when there are several.
func (t *Table) onlyQuarantined(traits []string) (string, bool) {
	var found []string
	known := t.verdicts.Load()
	for _, trait := range traits {
		if known != nil && known.quarantined[trait] && !slices.Contains(found, trait) {
			found = append(found, trait)
		}
	}
	if len(found) != 1 {
		return "", false
	}
	return found[0], true
}

// mayPass reports whether a host may let a request pass by this claim. The claim may be nil.
func (s *trialState) mayPass(host uint64, now boottime.Instant, nowUnixMillis int64) bool {
	return s != nil && s.Host == host && !s.used &&
		s.readAt != 0 && now.MillisSince(s.readAt) >= settleMillis &&
		nowUnixMillis < s.ClaimedAtUnixMillis+claimMillis
}

// nextTrial returns the number of the next trial of a trait and the time of day from which it may
// be claimed. The caller holds mu.
func (t *Table) nextTrial(trait string) (count int, dueUnixMillis int64) {
	pause := int64(trialMillis)
	c := t.reports.candidate(trait, t.proofs[trait])
	c.count(make([]bool, len(numberServers([]*candidate{c}))))
	if c.sound {
		pause = soundTrialMillis
	}
	oldest, newest := c.oldest, c.newest
	last := t.trials[trait]
	// A claim from before the evidence belongs to an earlier quarantine.
	if last == nil || last.ClaimedAtUnixMillis < oldest {
		return 1, newest + pause
	}
	if newest < last.ClaimedAtUnixMillis {
		return last.Count, last.ClaimedAtUnixMillis + unusedMillis
	}
	const maxDoublings = 10
	pause = min(pause<<min(last.Count, maxDoublings), maxTrialMillis)
	return last.Count + 1, newest + pause
}

// applyTrial stores the newest claim of a trait. The caller holds mu.
func (t *Table) applyTrial(c Trial, now boottime.Instant) {
	known := t.trials[c.Trait]
	if known != nil && known.Trial == c {
		if known.readAt == 0 {
			known.readAt = now
		}
		return
	}
	t.setTrial(&trialState{Trial: c, readAt: now})
}

func (t *Table) setTrial(s *trialState) {
	if t.trials == nil {
		t.trials = make(map[string]*trialState)
	}
	t.trials[s.Trait] = s
}
