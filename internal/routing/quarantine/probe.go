package quarantine

import (
	"math/rand/v2"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// probeMillis is the time between two requests with a probed trait that one host sends. Hosts begin
// at different times within it, so that the crash under one probe is known before the next one.
const probeMillis = 8000

const (
	// probeOutcomeMillis is the time from a probe of another host within which its outcome is known:
	// its answer, until its server has stayed up, or its crash.
	probeOutcomeMillis = 1000
	// probeSpreadMillis is the time over which hosts whose probes were due meanwhile send the next one.
	probeSpreadMillis = 500
	// maxProbeAgeMillis is the age from which a recorded probe delays no other one. Times of day of hosts
	// differ by less.
	maxProbeAgeMillis = 30_000
)

// Probe says that a host has sent a request with a probed trait. The other hosts wait for its outcome, as
// each of several probes sent at the same time may crash a server.
type Probe struct {
	Trait string
	// Host is the Table.Host of the process.
	Host uint64
	// SentAtUnixMillis is the time of day of the probe.
	SentAtUnixMillis int64
}

// MayProbe reports whether a request may be sent that has a trait of which nobody can tell whether it
// crashes servers or is in use: many servers crashed at once, soon after all hosts had started. One
// request at a time may; its crash or its answer decides. Requests without such a trait may always.
func (t *Table) MayProbe(traits []string, now boottime.Instant) bool {
	known := t.verdicts.Load()
	if known == nil {
		return true
	}
	trait, found := firstIn(known.probed, traits)
	if !found {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probeAt == nil {
		t.probeAt = make(map[string]boottime.Instant)
	}
	at, waits := t.probeAt[trait]
	if !waits {
		at = now.AddMillis(t.randomMillis(probeMillis))
		t.probeAt[trait] = at
	}
	if now.Before(at) {
		return false
	}
	t.probeAt[trait] = now.AddMillis(probeMillis)
	if t.ownProbes == nil {
		t.ownProbes = make(map[string]bool)
	}
	t.ownProbes[trait] = true
	return true
}

// TakeProbes returns the probes of this host that are to be recorded, each once.
func (t *Table) TakeProbes(nowUnixMillis int64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeProbes(nowUnixMillis)
}

// takeProbes is TakeProbes. The caller holds mu.
func (t *Table) takeProbes(nowUnixMillis int64) []Change {
	var probes []Change
	for trait, pending := range t.ownProbes {
		if pending {
			probes = append(probes, Probe{Trait: trait, Host: t.Host, SentAtUnixMillis: nowUnixMillis})
			t.ownProbes[trait] = false
		}
	}
	return probes
}

// applyProbe delays the next probe of this host until the outcome of one of another host must be known,
// and by a random time beyond it, as all other hosts wait, too. The caller holds mu.
func (t *Table) applyProbe(p Probe, now boottime.Instant, nowUnixMillis int64) {
	if age := nowUnixMillis - p.SentAtUnixMillis; age > maxProbeAgeMillis || age < -maxProbeAgeMillis {
		t.lapse(probeKey(p.Trait))
		return
	}
	known := t.verdicts.Load()
	if p.Host == t.Host || known == nil || !known.probed[p.Trait] {
		return
	}
	if t.probeAt == nil {
		t.probeAt = make(map[string]boottime.Instant)
	}
	next := now.AddMillis(probeOutcomeMillis + t.randomMillis(probeSpreadMillis))
	t.probeAt[p.Trait] = max(t.probeAt[p.Trait], next)
}

// Probed reports whether requests with one of the traits are sent one at a time only.
func (t *Table) Probed(traits []string) bool {
	known := t.verdicts.Load()
	if known == nil {
		return false
	}
	_, found := firstIn(known.probed, traits)
	return found
}

// randomMillis returns a time below a bound. The caller holds mu.
func (t *Table) randomMillis(bound int64) int64 {
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(t.Host, 0))
	}
	return t.random.Int64N(bound)
}

// dropProbes forgets traits that are not probed any more. The caller holds mu.
func (t *Table) dropProbes(v verdicts) {
	for trait := range t.probeAt {
		if !v.probed[trait] {
			delete(t.probeAt, trait)
		}
	}
	for trait := range t.ownProbes {
		if !v.probed[trait] {
			delete(t.ownProbes, trait)
			t.lapse(probeKey(trait))
		}
	}
}
