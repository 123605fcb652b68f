package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// variant is the rule by which the model's holders issue permits and rebind keys. All
// but permitAfterReadBack are faulty.
type variant int

const (
	// permitAfterReadBack follows the protocol: it issues permits only for
	// bindings that were read back.
	permitAfterReadBack variant = iota
	// permitOnAppend issues permits as soon as the append has succeeded.
	permitOnAppend
	// trustOwnLease issues permits before the append while the holder has not read
	// another holder's lease.
	trustOwnLease
	// rebindUnchecked replaces whatever binding is in force instead of the refused
	// one.
	rebindUnchecked
)

const (
	testWindowSeconds = 600
	testHolders       = 2
	testKeys          = 1
)

// step is one action of the model.
type step struct {
	Kind, Holder, Key, Seconds int
	// Permit selects a permit of the key, counted back from the newest one.
	Permit int
}

const (
	stepLease = iota
	stepPrepare
	stepAppend
	stepRead
	stepRun
	stepRefuse
	stepRebind
	stepKinds
)

func stepGenerator() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:    rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			Permit:  rapid.IntRange(0, 3).Draw(t, "permit"),
			Holder:  rapid.IntRange(0, testHolders-1).Draw(t, "holder"),
			Key:     rapid.IntRange(0, testKeys-1).Draw(t, "key"),
			Seconds: pauseSeconds(rapid.IntRange(0, 39).Draw(t, "pause")),
		}
	})
	return rapid.SliceOfN(one, 60, 160)
}

// pauseSeconds makes most steps immediate and delays a few of them.
func pauseSeconds(pause int) int {
	late := map[int]int{37: 1, 38: 30, 39: 400}
	return late[pause]
}

// entry is one record of the model's log.
type entry struct {
	at     time.Time
	record Record
}

// modelHolder is one lease holder of the model.
type modelHolder struct {
	state *State
	epoch string
	// prepared is the batch that the holder appends next.
	prepared *Batch
}

// model simulates holders that append to one stream and may pause between any two
// steps, and owners that run or refuse the requests for which they get permits.
type model struct {
	variant variant
	now     time.Time
	log     []entry
	holders [testHolders]modelHolder
	keys    [testKeys]string
	// permits holds every binding issued as a permit, by key.
	permits [testKeys][]Binding
	// refused and ran are the requests that the owners refused or ran.
	refused, ran map[string]bool
	// runs counts the runs of each key.
	runs [testKeys]int
}

func newModel(v variant) *model {
	m := &model{variant: v, now: testTime, refused: map[string]bool{}, ran: map[string]bool{}}
	for i := range m.holders {
		m.holders[i].state = NewState(0, testWindowSeconds, 1)
	}
	for i := range m.keys {
		m.keys[i] = testKey(testTime, byte(i))
	}
	return m
}

func (m *model) append(r Record) {
	m.log = append(m.log, entry{at: m.now, record: r})
}

func (m *model) catchUp(s *State) {
	for offset := s.Next(); offset <= uint64(len(m.log)); offset++ {
		e := m.log[offset-1]
		s.Apply(offset, e.at, e.record)
	}
}

func (m *model) apply(i int, c step) {
	m.now = m.now.Add(time.Duration(c.Seconds) * time.Second)
	h := &m.holders[c.Holder]
	switch c.Kind {
	case stepLease:
		h.epoch = fmt.Sprintf("e%d", i)
		m.append(Lease{Epoch: h.epoch})
	case stepPrepare:
		h.prepared = &Batch{Epoch: h.epoch, Claims: []Claim{{Key: m.keys[c.Key], RequestID: fmt.Sprintf("r%d", i)}}}
	case stepRebind:
		m.prepareRebind(i, h, c.Key)
	case stepAppend:
		m.appendPrepared(h, c.Key)
	case stepRead:
		m.catchUp(h.state)
		m.issuePermit(h.state, c.Key)
	case stepRun, stepRefuse:
		m.runOrRefuse(c)
	}
}

func (m *model) prepareRebind(i int, h *modelHolder, key int) {
	b, ok := h.state.Lookup(m.keys[key])
	if !ok || !m.refused[b.RequestID] {
		return
	}
	claim := Claim{Key: b.Key, RequestID: fmt.Sprintf("r%d", i)}
	h.prepared = &Batch{Epoch: h.epoch, Rebinds: []Rebind{{Claim: claim, Refused: b.Offset}}}
}

func (m *model) appendPrepared(h *modelHolder, key int) {
	if h.prepared == nil {
		return
	}
	b := *h.prepared
	if m.variant == trustOwnLease {
		// The fault: the holder ignores a later lease that it has not read.
		if l, _ := h.state.Lease(); l.Epoch == h.epoch {
			m.issueUnread(b, key)
		}
	}
	if m.variant == rebindUnchecked {
		for i, c := range b.Rebinds {
			if now, ok := m.newReader().Lookup(c.Key); ok {
				b.Rebinds[i].Refused = now.Offset
			}
		}
	}
	m.append(b)
	if m.variant == permitOnAppend {
		m.issueUnread(b, key)
	}
}

// issueUnread issues permits for all claims of a batch without reading it back.
func (m *model) issueUnread(b Batch, key int) {
	for _, c := range b.Claims {
		if c.Key == m.keys[key] {
			m.permits[key] = append(m.permits[key], Binding{Key: c.Key, RequestID: c.RequestID})
		}
	}
}

// issuePermit issues a permit for the binding of a key that a holder has read.
func (m *model) issuePermit(s *State, key int) {
	if b, ok := s.Lookup(m.keys[key]); ok {
		m.permits[key] = append(m.permits[key], b)
	}
}

// runOrRefuse lets the owner of a permit run the request once, or refuse it
// permanently.
func (m *model) runOrRefuse(c step) {
	permits := m.permits[c.Key]
	if len(permits) == 0 {
		return
	}
	b := permits[max(len(permits)-1-c.Permit, 0)]
	if m.refused[b.RequestID] || m.ran[b.RequestID] {
		return
	}
	if c.Kind == stepRefuse {
		m.refused[b.RequestID] = true
		return
	}
	m.ran[b.RequestID] = true
	m.runs[c.Key]++
}

// newReader returns a state to which the whole log was applied.
func (m *model) newReader() *State {
	s := NewState(0, testWindowSeconds, 1)
	m.catchUp(s)
	return s
}

// check returns an error if requests of the same key ran more than once.
func (m *model) check() error {
	for i, runs := range m.runs {
		if runs > 1 {
			return errors.Newf("key %d ran %d times", i, runs)
		}
	}
	return nil
}

func runModel(v variant, steps []step) error {
	m := newModel(v)
	for i, c := range steps {
		m.apply(i, c)
	}
	return m.check()
}

// TestAtMostOneRun checks that at most one request of each key runs.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runModel(permitAfterReadBack, stepGenerator().Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestBrokenVariantsAreFound checks that the property above detects each faulty
// variant.
func TestBrokenVariantsAreFound(t *testing.T) {
	const seeds = 20000
	for name, v := range map[string]variant{"on append": permitOnAppend, "own lease": trustOwnLease, "blind rebind": rebindUnchecked} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range seeds {
				steps := stepGenerator().Example(seed)
				is.NoErr(runModel(permitAfterReadBack, steps))
				if err := runModel(v, steps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no violation in %d seeds", seeds)
		})
	}
}
