package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// host is a real backend server in the property tests, with one incarnation
// after another.
type host struct {
	// processes holds the incarnations in their order, the running one last.
	processes []process
}

type process struct {
	incarnation uint64
	// from is the time of the start.
	from time.Time
	// leavingAt is the time from which it refuses, zero when it does not.
	leavingAt time.Time
}

// machine runs random events of a list, a network and two backend servers.
type machine struct {
	table Table
	now   time.Time
	hosts map[string]*host
	// highest is the latest life that the table has shown, by host.
	highest map[string]int
	// refused is the latest life whose word of leaving the table took.
	refused map[string]int
}

var names = []string{"1", "2"}

func newMachine() *machine {
	m := &machine{now: start, hosts: map[string]*host{}, highest: map[string]int{}, refused: map[string]int{}}
	for i, name := range names {
		m.hosts[name] = &host{processes: []process{{incarnation: uint64(100 + i), from: start}}}
		m.highest[name] = -1
		m.refused[name] = -1
	}
	return m
}

func (m *machine) pick(t *rapid.T) (string, *host) {
	name := rapid.SampledFrom(names).Draw(t, "host")
	return name, m.hosts[name]
}

// Advance lets time pass, sometimes past the deadline of unlisted members. The
// incarnations of dropped members are forgotten after retiredGrace, so the run
// stays within it.
func (m *machine) Advance(t *rapid.T) {
	if m.now.Sub(start) > retiredGrace/2 {
		t.Skip("end of the run")
	}
	seconds := rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
}

// List delivers a list that names any hosts in any state but leaving, as a
// lagging one may.
func (m *machine) List(t *rapid.T) {
	var hosts []Host
	for _, name := range names {
		if rapid.Bool().Draw(t, "listed") {
			hosts = append(hosts, backend(name))
		}
	}
	_ = m.table.ApplyList(hosts, m.now)
}

// Leave makes the running process refuse new work.
func (m *machine) Leave(t *rapid.T) {
	_, h := m.pick(t)
	last := &h.processes[len(h.processes)-1]
	if last.leavingAt.IsZero() {
		last.leavingAt = m.now
	}
}

// Restart replaces the running process by a new incarnation. Their numbers are
// not in order, as they are random.
func (m *machine) Restart(t *rapid.T) {
	_, h := m.pick(t)
	m.now = m.now.Add(time.Second)
	incarnation := rapid.Uint64Min(1).Filter(h.isFresh).Draw(t, "incarnation")
	h.processes = append(h.processes, process{incarnation: incarnation, from: m.now})
}

func (h *host) isFresh(incarnation uint64) bool {
	for _, l := range h.processes {
		if l.incarnation == incarnation {
			return false
		}
	}
	return true
}

// Answer delivers a reply of any life, asked at any time of that life and
// arriving as late as now.
func (m *machine) Answer(t *rapid.T) {
	name, h := m.pick(t)
	i := rapid.IntRange(0, len(h.processes)-1).Draw(t, "life")
	until := m.now
	if i+1 < len(h.processes) {
		until = h.processes[i+1].from
	}
	from := h.processes[i].from
	askedAt := from.Add(time.Duration(rapid.Int64Range(0, int64(until.Sub(from))).Draw(t, "asked")))
	l := load(name, h.processes[i].incarnation)
	leavingAt := h.processes[i].leavingAt
	l.Leaving = !leavingAt.IsZero() && !askedAt.Before(leavingAt)
	if m.table.Observe(l, askedAt, m.now) == nil && l.Leaving {
		m.refused[name] = i
	}
}

// DialFailed makes a host suspect.
func (m *machine) DialFailed(t *rapid.T) {
	name, _ := m.pick(t)
	_ = m.table.DialFailed(name, m.now)
}

// Check holds after every event.
func (m *machine) Check(t *rapid.T) {
	for name, h := range m.hosts {
		member, ok := m.table.Snapshot().Find(name)
		if !ok {
			continue
		}
		shown := h.find(member.Incarnation)
		if shown < m.highest[name] {
			t.Fatalf("host %s went back from life %d to %d", name, m.highest[name], shown)
		}
		m.highest[name] = shown
		if m.refused[name] >= 0 && shown <= m.refused[name] && member.Eligible(m.now) {
			t.Fatalf("host %s is eligible in life %d after it left", name, shown)
		}
	}
}

// find returns the life of an incarnation, or -1 when none answered.
func (h *host) find(incarnation uint64) int {
	for i, l := range h.processes {
		if l.incarnation == incarnation {
			return i
		}
	}
	return -1
}

func TestIncarnationProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newMachine()))
	})
}
