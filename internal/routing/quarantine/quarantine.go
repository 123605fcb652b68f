// Package quarantine decides which requests must not reach engines any more, as engines crash
// when they begin to answer requests with one part in their prompts. Evidence is what an entry
// host saw of one crash; Table holds the evidence of all entry hosts and the decisions that
// follow from it. A Trial finds out whether a quarantined part still crashes engines. The
// package does no I/O and reads no clock.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// soundMillis is the time for which a part counts as sound after the answer of a request
	// with it began and its engine went on. Parts that are in use are confirmed far more often.
	soundMillis = 10_000
	// evidenceMillis is the time for which evidence holds.
	evidenceMillis = 3_600_000
	// maxEvidence bounds the evidence that is held.
	maxEvidence = 1024
	// maxLapsed bounds the keys of evidence that holds no longer.
	maxLapsed = 256
	// maxSoundParts bounds the parts that are remembered as sound.
	maxSoundParts = 4096
)

// Table holds the evidence and the decisions. It is safe for concurrent use.
type Table struct {
	// Host is a random number that identifies this process. It is set before use.
	Host uint64

	mu       sync.Mutex
	evidence map[Key]Evidence
	// lapsed holds keys of evidence that holds no longer and is still recorded.
	lapsed map[Key]bool
	// trials holds the newest trial of each part that had one.
	trials map[string]*trialState
	// soundUntil holds the parts that count as sound, and until when.
	soundUntil map[string]boottime.Instant

	// verdicts follow from the evidence; they are replaced as a whole.
	verdicts atomic.Pointer[verdicts]
}

// Quarantined returns the first of the parts that is quarantined, or false when none is.
func (t *Table) Quarantined(parts []string) (string, bool) {
	known := t.verdicts.Load()
	if known == nil {
		return "", false
	}
	return firstIn(known.quarantined, parts)
}

// Suspected returns the first of the parts under which engines crashed that nothing else
// explains, or false when there is none. A request that crashed an engine and has such a part
// is not sent to another one.
func (t *Table) Suspected(parts []string) (string, bool) {
	known := t.verdicts.Load()
	if known == nil {
		return "", false
	}
	return firstIn(known.suspected, parts)
}

// QuarantinedParts returns all quarantined parts in order.
func (t *Table) QuarantinedParts() []string {
	known := t.verdicts.Load()
	if known == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(known.quarantined))
}

func firstIn(set map[string]bool, parts []string) (string, bool) {
	for _, part := range parts {
		if set[part] {
			return part, true
		}
	}
	return "", false
}

// RecordCrash adds the evidence of a crash that this host saw, and returns it for the other
// hosts.
func (t *Table) RecordCrash(c Crash, now boottime.Instant) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []Evidence
	for depth, part := range c.Parts {
		e := Evidence{
			Key:             Key{Part: part, Server: c.Server},
			Request:         c.Request,
			Depth:           depth,
			Sound:           now.Before(t.soundUntil[part]),
			UntilUnixMillis: c.AtUnixMillis + evidenceMillis,
		}
		t.add(e)
		added = append(added, e)
	}
	t.decide()
	return added
}

// RecordSound records that the answer of a request began and that its engine went on, so that
// none of the parts crashes engines. It returns the evidence against them, which has ended.
func (t *Table) RecordSound(parts []string, now boottime.Instant) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Key
	for _, part := range parts {
		t.markSound(part, now)
		ended = append(ended, t.keysOf(part)...)
	}
	for _, key := range ended {
		delete(t.evidence, key)
	}
	if len(ended) > 0 {
		t.decide()
	}
	return ended
}

// Apply applies what entry hosts have recorded, and drops evidence that holds no longer.
func (t *Table) Apply(changes []Change, now boottime.Instant, nowUnixMillis int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.evidence)
	for key, e := range t.evidence {
		if !e.holds(nowUnixMillis) {
			delete(t.evidence, key)
			t.lapse(key)
		}
	}
	changed := len(t.evidence) != before
	for _, c := range changes {
		changed = t.apply(c, now, nowUnixMillis) || changed
	}
	if changed {
		t.decide()
	}
}

// apply applies one change and reports whether the evidence has changed. The caller holds mu.
func (t *Table) apply(c Change, now boottime.Instant, nowUnixMillis int64) bool {
	switch c := c.(type) {
	case Evidence:
		if !c.holds(nowUnixMillis) {
			t.lapse(c.Key)
			return false
		}
		known, held := t.evidence[c.Key]
		t.add(c)
		return !held || known != c
	case Ended:
		delete(t.lapsed, c.Key)
		_, held := t.evidence[c.Key]
		if held {
			t.markSound(c.Part, now)
		}
		delete(t.evidence, c.Key)
		return held
	case Trial:
		t.applyTrial(c, now)
	}
	return false
}

// lapse remembers the key of evidence that holds no longer. The caller holds mu.
func (t *Table) lapse(key Key) {
	if t.lapsed == nil {
		t.lapsed = make(map[Key]bool)
	}
	if len(t.lapsed) < maxLapsed {
		t.lapsed[key] = true
	}
}

// TakeLapsed returns keys of evidence that holds no longer, whose records can be deleted, and
// forgets them.
func (t *Table) TakeLapsed() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := slices.Collect(maps.Keys(t.lapsed))
	clear(t.lapsed)
	return keys
}

// add stores evidence. The caller holds mu.
func (t *Table) add(e Evidence) {
	if t.evidence == nil {
		t.evidence = make(map[Key]Evidence)
	}
	if len(t.evidence) >= maxEvidence {
		t.dropOldest()
	}
	t.evidence[e.Key] = e
}

func (t *Table) dropOldest() {
	var oldest Evidence
	for _, e := range t.evidence {
		if oldest.Part == "" || e.UntilUnixMillis < oldest.UntilUnixMillis {
			oldest = e
		}
	}
	delete(t.evidence, oldest.Key)
}

// markSound remembers a part as sound. The caller holds mu.
func (t *Table) markSound(part string, now boottime.Instant) {
	if t.soundUntil == nil {
		t.soundUntil = make(map[string]boottime.Instant)
	}
	if _, known := t.soundUntil[part]; !known && len(t.soundUntil) >= maxSoundParts {
		t.forgetSound()
	}
	t.soundUntil[part] = now.AddMillis(soundMillis)
}

// forgetSound drops an arbitrary part. A part in use is soon remembered again. The caller
// holds mu.
func (t *Table) forgetSound() {
	for part := range t.soundUntil {
		delete(t.soundUntil, part)
		return
	}
}

// keysOf returns the keys of the evidence against a part. The caller holds mu.
func (t *Table) keysOf(part string) []Key {
	var keys []Key
	for key := range t.evidence {
		if key.Part == part {
			keys = append(keys, key)
		}
	}
	return keys
}

// decide replaces the verdicts. The caller holds mu.
func (t *Table) decide() {
	next := decide(slices.Collect(maps.Values(t.evidence)))
	t.verdicts.Store(&next)
}
