package quarantine

// dropOld drops evidence, proofs, clearances and trials that hold no longer. The caller holds mu.
func (t *Table) dropOld(nowUnixMillis int64) {
	t.reports.dropOld(nowUnixMillis)
	for trait, p := range t.proofs {
		if !holds(p.newest(), nowUnixMillis) {
			t.dropProof(trait)
			t.lapse(proofKey(trait))
		}
	}
	for trait, c := range t.clearances {
		if !holds(c.ThroughUnixMillis, nowUnixMillis) {
			delete(t.clearances, trait)
			t.lapse(clearanceKey(trait))
		}
	}
	for trait, until := range t.uses {
		if until <= nowUnixMillis {
			delete(t.uses, trait)
			t.lapse(useKey(trait))
		}
	}
	for trait, s := range t.trials {
		if !holds(s.ClaimedAtUnixMillis, nowUnixMillis) {
			delete(t.trials, trait)
			t.lapse(trialKey(trait))
		}
	}
}

// lapse remembers the key of a record that holds no longer. The caller holds mu.
func (t *Table) lapse(key string) {
	if t.lapsed == nil {
		t.lapsed = make(map[string]bool)
	}
	if len(t.lapsed) < maxLapsed {
		t.lapsed[key] = true
	}
}

func (t *Table) lapseAll(keys []string) {
	for _, key := range keys {
		t.lapse(key)
	}
}

// TakeLapsed returns deletions of records that hold no longer, and forgets them.
func (t *Table) TakeLapsed() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var deletions []Change
	for key := range t.lapsed {
		if !t.holdsKey(key) {
			deletions = append(deletions, Deletion{Key: key})
		}
	}
	clear(t.lapsed)
	return deletions
}

// holdsKey reports whether something is held that is recorded under a key. The caller holds mu.
func (t *Table) holdsKey(key string) bool {
	if trait, found := cutKey(key, proofPrefix); found {
		_, held := t.proofs[trait]
		return held
	}
	if trait, found := cutKey(key, clearancePrefix); found {
		_, held := t.clearances[trait]
		return held
	}
	if trait, found := cutKey(key, usePrefix); found {
		_, held := t.uses[trait]
		return held
	}
	if trait, found := cutKey(key, probePrefix); found {
		_, held := t.ownProbes[trait]
		return held
	}
	if trait, found := cutKey(key, trialPrefix); found {
		_, held := t.trials[trait]
		return held
	}
	return t.reports.holdsKey(key)
}
