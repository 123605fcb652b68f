package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// host models the actual state of a backend server, which restarts with one
// incarnation after another.
type host struct {
	// processes holds the processes in order of start; the last one is running.
	processes []process
}

// process is one incarnation of the process on a host.
type process struct {
	incarnation uint64
	// from is the time of the start.
	from time.Time
	// leavingAt is the time from which the process is draining and refuses new
	// work. It is zero if it is not draining.
	leavingAt time.Time
}

// machine applies random events of a host list, a network and two backend servers
// to a table. Processes are numbered by their index in host.processes.
type machine struct {
	table Table
	now   time.Time
	hosts map[string]*host
	// highest is the latest process that the table has shown, by host. It is -1 if
	// there was none.
	highest map[string]int
	// refused is the latest process whose draining the table has recorded, by
	// host. It is -1 if there was none.
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

// Advance lets time pass, sometimes more than unlistedGrace. The incarnations of
// dropped members are deleted after retiredGrace, so a run stays within that.
func (m *machine) Advance(t *rapid.T) {
	if m.now.Sub(start) > retiredGrace/2 {
		t.Skip("end of the run")
	}
	seconds := rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
}

// List applies a host list with a random subset of the hosts. It names them as live
// even if they are draining, as a lagging list may.
func (m *machine) List(t *rapid.T) {
	var hosts []Host
	for _, name := range names {
		if rapid.Bool().Draw(t, "listed") {
			hosts = append(hosts, backend(name))
		}
	}
	_ = m.table.ApplyList(hosts, m.now)
}

// Leave makes the running process drain.
func (m *machine) Leave(t *rapid.T) {
	_, h := m.pick(t)
	last := &h.processes[len(h.processes)-1]
	if last.leavingAt.IsZero() {
		last.leavingAt = m.now
	}
}

// Restart replaces the running process by one with a new incarnation. Incarnations
// are random numbers, so they are not in order.
func (m *machine) Restart(t *rapid.T) {
	_, h := m.pick(t)
	m.now = m.now.Add(time.Second)
	incarnation := rapid.Uint64Min(1).Filter(h.isFresh).Draw(t, "incarnation")
	h.processes = append(h.processes, process{incarnation: incarnation, from: m.now})
}

// isFresh reports whether no process of the host has had the incarnation.
func (h *host) isFresh(incarnation uint64) bool {
	for _, p := range h.processes {
		if p.incarnation == incarnation {
			return false
		}
	}
	return true
}

// Reply delivers a reply of any process to a request sent at any time while that
// process was running. The reply arrives now.
func (m *machine) Reply(t *rapid.T) {
	name, h := m.pick(t)
	i := rapid.IntRange(0, len(h.processes)-1).Draw(t, "process")
	until := m.now
	if i+1 < len(h.processes) {
		until = h.processes[i+1].from
	}
	from := h.processes[i].from
	requestedAt := from.Add(time.Duration(rapid.Int64Range(0, int64(until.Sub(from))).Draw(t, "requested")))
	l := load(name, h.processes[i].incarnation)
	leavingAt := h.processes[i].leavingAt
	l.Leaving = !leavingAt.IsZero() && !requestedAt.Before(leavingAt)
	if m.table.Observe(l, requestedAt, m.now) == nil && l.Leaving {
		m.refused[name] = i
	}
}

// DialFailed makes a host suspect.
func (m *machine) DialFailed(t *rapid.T) {
	name, _ := m.pick(t)
	_ = m.table.DialFailed(name, m.now)
}

// Check checks, after every event, that no host returns to a former process and
// that a draining process is not eligible.
func (m *machine) Check(t *rapid.T) {
	for name, h := range m.hosts {
		member, ok := m.table.Snapshot().Find(name)
		if !ok {
			continue
		}
		shown := h.find(member.Incarnation)
		if shown < m.highest[name] {
			t.Fatalf("host %s went back from process %d to %d", name, m.highest[name], shown)
		}
		m.highest[name] = shown
		if m.refused[name] >= 0 && shown <= m.refused[name] && member.Eligible(m.now) {
			t.Fatalf("host %s is eligible in process %d, which is draining or older", name, shown)
		}
	}
}

// find returns the index of the process with the incarnation, or -1 if there is
// none.
func (h *host) find(incarnation uint64) int {
	for i, p := range h.processes {
		if p.incarnation == incarnation {
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
