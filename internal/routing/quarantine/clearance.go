package quarantine

import "github.com/fulmarvalve/fulmarvalve/internal/records/boottime"

// Answer is an answer that clears the traits of its request once its server has stayed up for a
// while. The zero value clears nothing.
type Answer struct {
	traits []string
	// newest holds the time of day of the newest crash against each trait at the time of the answer;
	// zero for none. It is nil if there was none against any of them.
	newest []int64
}

// IsZero reports whether the answer is the zero value.
func (a Answer) IsZero() bool { return len(a.traits) == 0 }

// HasEvidence reports whether there was evidence against the request when its answer came.
func (a Answer) HasEvidence() bool { return a.newest != nil }

// SnapshotEvidence returns an answer that has just come, with the evidence that it clears. Crashes that
// become known after it go on to count, as they may follow from the same request.
func (t *Table) SnapshotEvidence(traits []string) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answer(traits)
}

// answer returns an answer with what it clears. The caller holds mu.
func (t *Table) answer(traits []string) Answer {
	a := Answer{traits: traits}
	for n, trait := range traits {
		newest, found := t.newestCrash(trait)
		if !found {
			continue
		}
		if a.newest == nil {
			a.newest = make([]int64, len(traits))
		}
		a.newest[n] = newest
	}
	return a
}

// RecordSound records that the answer of a request began and that its server went on, so that
// none of the traits crashes servers. It returns what is to be recorded: the evidence against
// them has ended.
func (t *Table) RecordSound(traits []string, now boottime.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settle(t.answer(traits), now)
}

// RecordSettled records that the server of an answer has stayed up, and returns what is to be
// recorded: the evidence from before the answer has ended.
func (t *Table) RecordSettled(a Answer, now boottime.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settle(a, now)
}

// settle ends the evidence from before an answer. The caller holds mu.
func (t *Table) settle(a Answer, now boottime.Instant) []Change {
	var changes []Change
	for n, trait := range a.traits {
		t.markSound(trait, now)
		if a.newest == nil || !t.countsFor(trait, a.newest[n]) {
			continue
		}
		c := Clearance{Trait: trait, ThroughUnixMillis: a.newest[n]}
		changes = append(changes, c)
		if p, proven := t.proofs[trait]; proven && p.newest() <= c.ThroughUnixMillis {
			changes = append(changes, Deletion{Key: proofKey(trait)})
		}
		t.clear(c)
	}
	return append(changes, t.decideIfChanged(now)...)
}

// newestCrash returns the time of day of the newest crash that counts against a trait, or false
// when there is none. The caller holds mu.
func (t *Table) newestCrash(trait string) (int64, bool) {
	newest, found := t.reports.newest(trait)
	if p, proven := t.proofs[trait]; proven {
		newest, found = max(newest, p.newest()), true
	}
	return newest, found
}

// applyClearance ends evidence against a trait. A trait that was answered on another host counts
// as sound here, too. The caller holds mu.
func (t *Table) applyClearance(c Clearance, now boottime.Instant, nowUnixMillis int64) {
	if !holds(c.ThroughUnixMillis, nowUnixMillis) {
		t.lapse(clearanceKey(c.Trait))
		return
	}
	if known, held := t.clearances[c.Trait]; held && known.ThroughUnixMillis >= c.ThroughUnixMillis {
		return
	}
	if _, suspect := t.newestCrash(c.Trait); suspect && !c.Released {
		t.markSound(c.Trait, now)
	}
	t.clear(c)
}

// clear ends the evidence against a trait up to a time. The caller holds mu.
func (t *Table) clear(c Clearance) {
	if t.clearances == nil {
		t.clearances = make(map[string]Clearance)
	}
	if _, known := t.clearances[c.Trait]; !known && len(t.clearances) >= maxClearances {
		t.dropOldestClearance()
	}
	t.clearances[c.Trait] = c
	t.reports.clear(c.Trait, c.ThroughUnixMillis)
	p, proven := t.proofs[c.Trait]
	if !proven {
		return
	}
	t.dropProof(c.Trait)
	if p = p.after(c.ThroughUnixMillis); len(p.Crashes) > 0 {
		t.setProof(p)
	}
}

// dropOldestClearance drops one clearance, those of operators last. The caller holds mu.
func (t *Table) dropOldestClearance() {
	oldest, found := Clearance{}, false
	for _, c := range t.clearances {
		older := c.Released == oldest.Released && c.ThroughUnixMillis < oldest.ThroughUnixMillis
		if !found || older || (oldest.Released && !c.Released) {
			oldest, found = c, true
		}
	}
	delete(t.clearances, oldest.Trait)
	t.lapse(clearanceKey(oldest.Trait))
}

// countsFor reports whether a crash at a time of day counts against a trait. The caller holds mu.
func (t *Table) countsFor(trait string, atUnixMillis int64) bool {
	return atUnixMillis > t.clearances[trait].ThroughUnixMillis
}
