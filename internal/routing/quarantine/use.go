package quarantine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// knownUses returns the uses that this host knows and the hosts that reported crashes did not. The
// caller holds mu.
func (t *Table) knownUses(changes []Change, now boottime.Instant, nowUnixMillis int64) []Change {
	var uses []Change
	for _, c := range changes {
		report, ok := c.(Report)
		if !ok || !holds(report.AtUnixMillis, nowUnixMillis) {
			continue
		}
		for _, s := range report.Suspects {
			if _, recorded := t.uses[s.Trait]; s.Sound || recorded || !t.isSound(s.Trait, now) {
				continue
			}
			until, _ := t.soundUntil.Peek(s.Trait)
			u := Use{Trait: s.Trait, UntilUnixMillis: nowUnixMillis + until.MillisSince(now)}
			t.noteUse(u)
			uses = append(uses, u)
		}
	}
	return uses
}

// noteUse remembers a use that is recorded. The caller holds mu.
func (t *Table) noteUse(u Use) {
	if t.uses == nil {
		t.uses = make(map[string]int64)
	}
	if len(t.uses) < maxUses {
		t.uses[u.Trait] = u.UntilUnixMillis
	}
}

// applyUse takes a trait as sound that was answered on another host. The caller holds mu.
func (t *Table) applyUse(u Use, now boottime.Instant, nowUnixMillis int64) {
	left := min(u.UntilUnixMillis-nowUnixMillis, soundMillis)
	if left <= 0 {
		t.lapse(useKey(u.Trait))
		return
	}
	t.noteUse(u)
	if !t.isSound(u.Trait, now) {
		t.markSoundUntil(u.Trait, now.AddMillis(left))
		t.reports.changed = true
	}
}

// watchedSince returns the time since which this host sees answers. The caller holds mu.
func (t *Table) watchedSince(now boottime.Instant) boottime.Instant {
	if t.since == 0 {
		t.since = now
	}
	return t.since
}

// isSound reports whether a request with the trait was answered lately. The caller holds mu.
func (t *Table) isSound(trait string, now boottime.Instant) bool {
	if t.soundUntil == nil {
		return false
	}
	until, known := t.soundUntil.Peek(trait)
	return known && now.Before(until)
}

// markSound remembers a trait as sound. The caller holds mu.
func (t *Table) markSound(trait string, now boottime.Instant) {
	t.markSoundUntil(trait, now.AddMillis(soundMillis))
}

func (t *Table) markSoundUntil(trait string, until boottime.Instant) {
	if t.soundUntil == nil {
		// The error says that the size is not positive.
		t.soundUntil, _ = simplelru.NewLRU[string, boottime.Instant](maxSoundTraits, nil)
	}
	t.soundUntil.Add(trait, until)
}
