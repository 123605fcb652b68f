package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// applyProof takes a proof of another host. The caller holds mu.
func (t *Table) applyProof(p Proof, nowUnixMillis int64) {
	delete(t.unrecorded, p.Trait)
	p = p.after(t.clearances[p.Trait].ThroughUnixMillis)
	if len(p.Crashes) == 0 || !holds(p.newest(), nowUnixMillis) {
		t.lapse(proofKey(p.Trait))
		return
	}
	if known, held := t.proofs[p.Trait]; !held || known.newest() < p.newest() {
		t.setProof(p)
	}
}

// prove keeps the evidence against a quarantined trait. It returns the proof if this host has to
// record it, as it saw the newest crash. The caller holds mu.
func (t *Table) prove(c *candidate, now boottime.Instant) []Change {
	p := newProof(c)
	if known, held := t.proofs[c.trait]; held && known.newest() >= p.newest() {
		return nil
	}
	if !t.setProof(p) {
		return nil
	}
	t.rerecordLater(c.trait, now)
	if !t.reports.sawCrash(p.Crashes[len(p.Crashes)-1].Server) {
		return nil
	}
	return []Change{p}
}

// disprove drops the proof of a trait that is not quarantined any more, as another one explains
// its crashes. It returns the deletion of the record if this host saw one of them. The caller
// holds mu.
func (t *Table) disprove(trait string) []Change {
	p, held := t.proofs[trait]
	if !held {
		return nil
	}
	t.dropProof(trait)
	for _, crash := range p.Crashes {
		if t.reports.sawCrash(crash.Server) {
			return []Change{Deletion{Key: proofKey(trait)}}
		}
	}
	t.lapse(proofKey(trait))
	return nil
}

// setProof stores a proof, and reports whether it did. When there are too many, the one with the
// oldest newest crash is not kept. The caller holds mu.
func (t *Table) setProof(p Proof) bool {
	if t.proofs == nil {
		t.proofs = make(map[string]Proof)
	}
	if _, known := t.proofs[p.Trait]; !known && len(t.proofs) >= maxProofs {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.proofs)), func(a, b Proof) int {
			return cmp.Or(cmp.Compare(a.newest(), b.newest()), cmp.Compare(a.Trait, b.Trait))
		})
		if oldest.newest() >= p.newest() {
			return false
		}
		t.dropProof(oldest.Trait)
		t.lapse(proofKey(oldest.Trait))
	}
	t.proofs[p.Trait] = p
	t.proofsChanged = true
	return true
}

// dropProof forgets the proof of a trait. The caller holds mu.
func (t *Table) dropProof(trait string) {
	if _, held := t.proofs[trait]; held {
		delete(t.proofs, trait)
		delete(t.unrecorded, trait)
		t.proofsChanged = true
	}
}

// rerecordLater sets the time at which a proof is recorded unless it was read before. The caller
// holds mu.
func (t *Table) rerecordLater(trait string, now boottime.Instant) {
	if t.unrecorded == nil {
		t.unrecorded = make(map[string]boottime.Instant)
	}
	t.unrecorded[trait] = now.AddMillis(rerecordMillis + t.randomMillis(rerecordSpreadMillis))
}

// Missing returns what this host alone has to record again, as a store that was restored from an
// older copy holds no more than the given changes: its own reports, and the releases. Proofs that
// are missing are recorded later by one of the hosts that know them.
func (t *Table) Missing(changes []Change, now boottime.Instant) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[KeyOf(c)] = true
	}
	var missing []Change
	for _, r := range t.reports.ownReports() {
		if !present[reportKey(r.Slot)] {
			missing = append(missing, r)
		}
	}
	for _, c := range t.clearances {
		if c.Released && !present[clearanceKey(c.Trait)] {
			missing = append(missing, c)
		}
	}
	for trait := range t.proofs {
		if !present[proofKey(trait)] {
			t.rerecordLater(trait, now)
		}
	}
	return missing
}

// dueProofs returns the proofs that were not read from the store in time. The caller holds mu.
func (t *Table) dueProofs(now boottime.Instant) []Change {
	var due []Change
	for trait, at := range t.unrecorded {
		p, held := t.proofs[trait]
		switch {
		case !held:
			delete(t.unrecorded, trait)
		case !now.Before(at):
			due = append(due, p)
			t.rerecordLater(trait, now)
		}
	}
	return due
}
