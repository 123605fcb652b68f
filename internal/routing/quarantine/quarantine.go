// Package quarantine decides which requests must not reach backend servers any more, as servers
// crash when they begin to run requests that have one trait in common: a part of their prompts,
// their body, or all their words. A Report is what an entry host saw of one crash; Table holds
// the reports of all entry hosts and the decisions that follow from them. A Proof keeps a
// quarantine when its reports are gone, a Clearance ends it, and a Trial finds out whether a
// quarantined trait still crashes servers. The package does no I/O and reads no clock.
package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// soundMillis is the time for which a trait counts as sound after the answer of a request
	// with it began and its server went on. In a large fleet each host sees a call that is
	// repeated often only now and then.
	soundMillis = 120_000
	// watchMillis is the time from its start after which a host can say that a trait was not in
	// use.
	watchMillis = 10_000
	// evidenceMillis is the time for which evidence holds.
	evidenceMillis = 3_600_000
	// maxSoundTraits bounds the traits that are remembered as sound. Those answered last stay.
	maxSoundTraits = 8192
	// maxProofs bounds the proofs, and maxClearances the clearances.
	maxProofs     = 512
	maxClearances = 2048
	// maxUses bounds the recorded uses.
	maxUses = 1024
	// maxLapsed bounds the keys of records that hold no longer.
	maxLapsed = 64
	// rerecordMillis is the time after which a host records a proof that it doesn't find in the
	// store, as the host that had to may have ended. Up to rerecordSpreadMillis more are added,
	// so that one host does it.
	rerecordMillis       = 3000
	rerecordSpreadMillis = 6000
)

// Table holds the evidence and the decisions. It is safe for concurrent use.
type Table struct {
	// Host is a random number that identifies this process. It is set before use.
	Host uint64

	// waiting holds the crashes that are not applied yet. One caller of RecordCrash applies
	// those of all callers that wait for mu.
	waitingMu sync.Mutex
	waiting   []Crash

	mu sync.Mutex
	// random spreads what several hosts would do at the same time. It is nil before the first use.
	random *rand.Rand
	// since is the time since which this host sees answers; zero before the first use.
	since   boottime.Instant
	reports reportIndex
	proofs  map[string]Proof
	// proofsChanged says that proofs have changed since the last decision.
	proofsChanged bool
	// unrecorded holds the times at which proofs that were not read from the store are recorded.
	unrecorded map[string]boottime.Instant
	clearances map[string]Clearance
	// trials holds the newest trial of each trait that had one.
	trials map[string]*trialState
	// probeAt holds the times from which the next request with a probed trait may be sent.
	probeAt map[string]boottime.Instant
	// ownProbes holds the probed traits of which this host has sent a request, and whether that is still to
	// be recorded.
	ownProbes map[string]bool
	// uses holds the times of day until which traits are in use by what hosts have recorded.
	uses map[string]int64
	// lapsed holds keys of records that hold no longer.
	lapsed map[string]bool
	// soundUntil holds the traits that count as sound, and until when.
	soundUntil *simplelru.LRU[string, boottime.Instant]

	// verdicts follow from the evidence; they are replaced as a whole.
	verdicts atomic.Pointer[verdicts]
}

// Quarantined returns the first of the traits that is quarantined, or false when none is.
func (t *Table) Quarantined(traits []string) (string, bool) {
	known := t.verdicts.Load()
	if known == nil {
		return "", false
	}
	return firstIn(known.quarantined, traits)
}

// Suspected returns the first of the traits under which servers crashed that nothing else
// explains, or false when there is none. A request that crashed a server and has such a trait
// is not sent to another one.
func (t *Table) Suspected(traits []string) (string, bool) {
	known := t.verdicts.Load()
	if known == nil {
		return "", false
	}
	return firstIn(known.suspected, traits)
}

// QuarantinedTraits returns all quarantined traits in order.
func (t *Table) QuarantinedTraits() []string {
	known := t.verdicts.Load()
	if known == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(known.quarantined))
}

func firstIn(set map[string]bool, traits []string) (string, bool) {
	if len(set) == 0 {
		return "", false
	}
	for _, trait := range traits {
		if set[trait] {
			return trait, true
		}
	}
	return "", false
}

// RecordCrash adds what this host saw of a crash, and returns what is to be recorded for the
// other hosts. Crashes that several callers add at the same time are decided on once.
func (t *Table) RecordCrash(c Crash, now boottime.Instant) []Change {
	t.waitingMu.Lock()
	t.waiting = append(t.waiting, c)
	t.waitingMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitingMu.Lock()
	crashes := t.waiting
	t.waiting = nil
	t.waitingMu.Unlock()
	if len(crashes) == 0 {
		return nil
	}
	return t.addCrashes(crashes, now)
}

// addCrashes adds crashes that this host saw. The caller holds mu.
func (t *Table) addCrashes(crashes []Crash, now boottime.Instant) []Change {
	changed := make(map[string]bool)
	unsure := now.MillisSince(t.watchedSince(now)) < watchMillis
	use := func(trait string) (bool, bool) {
		sound := t.isSound(trait, now)
		return sound, unsure && !sound
	}
	for _, c := range crashes {
		t.reports.addCrash(c, t.Host, now, use, t.countsFor)
		changed[c.Server] = true
	}
	var changes []Change
	for server := range changed {
		if r, held := t.reports.ownReport(server); held {
			changes = append(changes, r)
		}
	}
	t.lapseAll(t.reports.takeEvicted())
	return append(changes, t.decideIfChanged(now)...)
}

// OwnReports returns copies of the reports of this process on crashes after a time of day.
func (t *Table) OwnReports(afterUnixMillis int64) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.reports.ownReports(), func(r Report) bool { return r.AtUnixMillis <= afterUnixMillis })
}

// Apply applies what entry hosts have recorded, and drops evidence that holds no longer. It
// returns what is to be recorded in turn.
func (t *Table) Apply(changes []Change, now boottime.Instant, nowUnixMillis int64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchedSince(now)
	t.dropOld(nowUnixMillis)
	for _, c := range changes {
		t.apply(c, now, nowUnixMillis)
	}
	t.lapseAll(t.reports.takeEvicted())
	return slices.Concat(t.decideIfChanged(now), t.dueProofs(now), t.knownUses(changes, now, nowUnixMillis), t.takeProbes(nowUnixMillis))
}

// apply applies one change. The caller holds mu.
func (t *Table) apply(c Change, now boottime.Instant, nowUnixMillis int64) {
	switch c := c.(type) {
	case Report:
		if holds(c.AtUnixMillis, nowUnixMillis) {
			t.reports.replace(c, now, t.countsFor)
		} else {
			t.lapse(reportKey(c.Slot))
		}
	case Proof:
		t.applyProof(c, nowUnixMillis)
	case Clearance:
		t.applyClearance(c, now, nowUnixMillis)
	case Use:
		t.applyUse(c, now, nowUnixMillis)
	case Trial:
		t.applyTrial(c, now)
	case Probe:
		t.applyProbe(c, now, nowUnixMillis)
	case Deletion:
		t.applyDeletion(c)
	}
}

// applyDeletion drops what was recorded under a key. Reports and clearances stay until they hold
// no longer. The caller holds mu.
func (t *Table) applyDeletion(d Deletion) {
	delete(t.lapsed, d.Key)
	if trait, isProof := cutKey(d.Key, proofPrefix); isProof {
		t.dropProof(trait)
	}
}

// decideIfChanged decides anew if evidence or proofs have changed in a way that may matter. The
// caller holds mu.
func (t *Table) decideIfChanged(now boottime.Instant) []Change {
	if !t.reports.takeChanged() && !t.proofsChanged {
		return nil
	}
	return t.decide(now)
}

// decide replaces the verdicts, and keeps the proofs of quarantined traits. It returns those that
// this host has to record. The caller holds mu.
func (t *Table) decide(now boottime.Instant) []Change {
	candidates := t.reports.candidates(t.proofs)
	for _, c := range candidates {
		c.inUse = t.isSound(c.trait, now)
	}
	next := decide(candidates)
	t.verdicts.Store(&next)
	t.dropProbes(next)
	var changes []Change
	for _, c := range candidates {
		if next.quarantined[c.trait] {
			changes = append(changes, t.prove(c, now)...)
		} else {
			changes = append(changes, t.disprove(c.trait)...)
		}
	}
	// The proofs say the same as the evidence that was decided on.
	t.proofsChanged = false
	return changes
}
