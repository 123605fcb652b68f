package instruction_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/instruction"
)

// openPeriod is how long a fence stays open after a confirmation or a heartbeat.
const openPeriod = 3 * time.Second

// yields is how often the test yields, so that a Send that does not wait as it should
// would run.
const yields = 1000

var errLost = errors.New("answer is lost")

func TestFenceChecksAtTheMomentOfSending(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		prepare func(*instruction.Fence)
		want    error
	}{
		{"open", func(f *instruction.Fence) { f.OpenUntil(now.Add(openPeriod)) }, nil},
		{"never opened", func(*instruction.Fence) {}, instruction.ErrExpired},
		{"extended before it was opened", func(f *instruction.Fence) { f.Extend(now.Add(openPeriod)) }, instruction.ErrExpired},
		{"expired", func(f *instruction.Fence) { f.OpenUntil(now) }, instruction.ErrExpired},
		{"expired and extended", func(f *instruction.Fence) {
			f.OpenUntil(now)
			f.Extend(now.Add(openPeriod))
		}, instruction.ErrExpired},
		{"equal number", func(f *instruction.Fence) {
			f.OpenUntil(now.Add(openPeriod))
			f.Raise(5)
		}, nil},
		{"stale number", func(f *instruction.Fence) {
			f.OpenUntil(now.Add(openPeriod))
			f.Raise(6)
			f.Raise(2)
		}, instruction.ErrStaleNumber},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &instruction.Fence{Now: func() time.Time { return now }}
			tt.prepare(f)
			sent := false
			err := f.Send(instruction.Order{Number: 5}, func(instruction.Order) error {
				sent = true
				return nil
			})
			is.True(errors.Is(err, tt.want))
			is.Equal(sent, tt.want == nil)
		})
	}
}

// owner models an owner process, reduced to what determines the fencing numbers.
type owner struct {
	fence *instruction.Fence
	// known is the latest version that this process has received.
	known uint64
	// plan is an order that was planned and not yet sent.
	plan instruction.Order
}

// fenceModel models an engine with its current owner process and all former ones. A
// former process may have been paused and resume later.
type fenceModel struct {
	now time.Time
	// accepted is the newest version in the log.
	accepted uint64
	// checks reports whether the engine checks fencing numbers.
	checks bool
	// effects holds the fencing numbers of the orders that took effect, in order.
	effects []uint64
	// highest is the highest fencing number that the engine has been given.
	highest uint64
	owners  []*owner
	// running is the index of the current process in owners.
	running int
}

// start replaces the current process by a new one.
func (m *fenceModel) start() {
	o := &owner{fence: &instruction.Fence{Now: func() time.Time { return m.now }}}
	m.owners = append(m.owners, o)
	m.running = len(m.owners) - 1
}

// confirm lets an owner read the log to its end.
func (m *fenceModel) confirm(o *owner) {
	o.known = m.accepted
	o.fence.Raise(o.known)
	o.fence.OpenUntil(m.now.Add(openPeriod))
}

// send sends the planned order of an owner. If lost is set, the order takes effect but
// its answer is lost.
func (m *fenceModel) send(o *owner, lost bool) {
	_ = o.fence.Send(o.plan, func(order instruction.Order) error {
		if m.checks && order.Number < m.highest {
			return errLost
		}
		m.highest = max(m.highest, order.Number)
		m.effects = append(m.effects, order.Number)
		if lost {
			return errLost
		}
		return nil
	})
}

// TestNumbersNeverGoBack: the fencing numbers of the orders that take effect never
// decrease. Configurations, heartbeats, lost answers, restarts with an old
// configuration and former processes that resume occur in any order. A process is
// replaced only after a pause longer than openPeriod. The names of the actions
// determine how rapid replays the cases in testdata.
func TestNumbersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fenceModel{now: time.Unix(1000, 0), accepted: 1, checks: rapid.Bool().Draw(t, "checks")}
		m.start()
		current := func() *owner { return m.owners[m.running] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { m.accepted++ },
			"hear": func(t *rapid.T) {
				o := current()
				o.known = rapid.Uint64Range(o.known, m.accepted).Draw(t, "version")
				o.fence.Raise(o.known)
			},
			"confirm":   func(*rapid.T) { m.confirm(current()) },
			"heartbeat": func(*rapid.T) { current().fence.Extend(m.now.Add(openPeriod)) },
			"plan":      func(*rapid.T) { current().plan = instruction.Order{Number: current().known} },
			"send":      func(t *rapid.T) { m.send(current(), rapid.Bool().Draw(t, "lost")) },
			"second":    func(*rapid.T) { m.now = m.now.Add(time.Second) },
			"replace": func(t *rapid.T) {
				m.now = m.now.Add(openPeriod)
				m.start()
				current().known = rapid.Uint64Range(0, m.accepted).Draw(t, "stale")
				current().plan = instruction.Order{Number: current().known}
			},
			"wake": func(t *rapid.T) {
				former := m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(t, "former")]
				if former == current() {
					t.Skip("the process is the current one")
				}
				former.fence.Extend(m.now.Add(openPeriod)) // its heartbeat may resume first
				m.send(former, false)
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(m.effects); i++ {
					if m.effects[i] < m.effects[i-1] {
						t.Fatalf("fencing numbers decreased: %v", m.effects)
					}
				}
			},
		})
	})
}

// TestWaitingOrderIsCheckedAfterItsWait: an order that waits while another is being
// sent is not sent if a higher fencing number becomes known in the meantime.
func TestWaitingOrderIsCheckedAfterItsWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &instruction.Fence{Now: func() time.Time { return now }}
	f.OpenUntil(now.Add(openPeriod))
	order := instruction.Order{Number: 2}
	var group errgroup.Group
	sent := false
	began := make(chan struct{})
	err := f.Send(order, func(instruction.Order) error {
		group.Go(func() error {
			close(began)
			return f.Send(order, func(instruction.Order) error {
				sent = true
				return nil
			})
		})
		<-began
		for range yields {
			runtime.Gosched()
		}
		f.Raise(3)
		return nil
	})
	is.NoErr(err)
	is.True(errors.Is(group.Wait(), instruction.ErrStaleNumber))
	is.True(!sent)
	is.Equal(f.Highest(), uint64(3))
}
