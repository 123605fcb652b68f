package unresponsive

import (
	"math/rand/v2"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// onceMillis is the least pause between two probes of all hosts together. A probe may be lost
	// like the calls before it, so that those that may be sent again are preferred:
	// repeatableMillis is the pause before them.
	onceMillis       = 3000
	repeatableMillis = 1000
	// maxDoublings bounds how often the pause doubles, once for each lost probe of this host.
	maxDoublings = 2
)

// probeState says when the next probe of a server is due.
type probeState struct {
	// failed is the number of lost calls that were sent since the server is unresponsive.
	failed int
	// spread is a random share of the pause that is added to it, so that one host probes first
	// and the others hear of it.
	spread float64
}

// newSpread returns a random number from [0, 1). The caller holds the mutex.
func (t *Table) newSpread() float64 {
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(t.Host, 0))
	}
	return t.random.Float64()
}

// probeDue reports whether the next request should be sent to the server as a probe. This host has
// one at a time, and the hosts that hear one another take turns. The answer to a call of another
// host that is newer than all calls of this host is a reason to probe at once.
func (s *serverState) probeDue(repeatable bool, now boottime.Instant) bool {
	if s.open.Len() > 0 {
		return false
	}
	answered, sent := s.newestElsewhere()
	if s.newestSentAt.AddMillis(slackMillis).Before(answered) && s.probe.failed == 0 {
		return true
	}
	base := int64(onceMillis)
	if repeatable {
		base = repeatableMillis
	}
	pause := base<<min(s.probe.failed, maxDoublings) + int64(s.probe.spread*float64(base))
	return now.MillisSince(max(s.newestSentAt, sent)) >= pause
}

// ProbeSent records that a request was placed at a server as a probe.
func (t *Table) ProbeSent(server string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, known := t.servers[server]; known {
		s.newestSentAt = now
		s.probe.spread = t.newSpread()
		t.statementsChanged = true
		t.notifyChange()
	}
}
