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

// trust is how long a process is sure of what it learnt.
const trust = 3 * time.Second

// chancesToCheckEarly lets a waiting call run, in case it does not wait.
const chancesToCheckEarly = 1000

var errLost = errors.New("answer is lost")

func TestFenceChecksAtTheMomentOfSending(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		prepare func(*instruction.Fence)
		want    error
	}{
		{"trusted", func(f *instruction.Fence) { f.OpenUntil(now.Add(trust)) }, nil},
		{"never trusted", func(*instruction.Fence) {}, instruction.ErrExpired},
		{"extended before it was trusted", func(f *instruction.Fence) { f.Extend(now.Add(trust)) }, instruction.ErrExpired},
		{"lapsed", func(f *instruction.Fence) { f.OpenUntil(now) }, instruction.ErrExpired},
		{"lapsed and extended", func(f *instruction.Fence) {
			f.OpenUntil(now)
			f.Extend(now.Add(trust))
		}, instruction.ErrExpired},
		{"an equal number", func(f *instruction.Fence) {
			f.OpenUntil(now.Add(trust))
			f.Raise(5)
		}, nil},
		{"an old number", func(f *instruction.Fence) {
			f.OpenUntil(now.Add(trust))
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

// owner is a process beside the engine, reduced to what decides on numbers.
type owner struct {
	fence *instruction.Fence
	// known is the version in force as this process has heard.
	known uint64
	// plan is an order that was planned and not sent.
	plan instruction.Order
}

// world is an engine with the processes that were ever beside it. At most one
// runs; a former one may have been paused and wakes.
type world struct {
	now      time.Time
	accepted uint64
	checks   bool
	effects  []uint64
	highest  uint64
	owners   []*owner
	running  int
}

func (w *world) start() {
	o := &owner{fence: &instruction.Fence{Now: func() time.Time { return w.now }}}
	w.owners = append(w.owners, o)
	w.running = len(w.owners) - 1
}

// confirm reads the log.
func (w *world) confirm(o *owner) {
	o.known = w.accepted
	o.fence.Raise(o.known)
	o.fence.OpenUntil(w.now.Add(trust))
}

func (w *world) send(o *owner, lost bool) {
	_ = o.fence.Send(o.plan, func(order instruction.Order) error {
		if w.checks && order.Number < w.highest {
			return errLost
		}
		w.highest = max(w.highest, order.Number)
		w.effects = append(w.effects, order.Number)
		if lost {
			return errLost
		}
		return nil
	})
}

// TestNumbersNeverGoBack: configurations, heartbeats, lost answers, restarts with old
// knowledge and former processes that wake come in any order. A pause that lets
// a replacement start is longer than the trust.
func TestNumbersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), accepted: 1, checks: rapid.Bool().Draw(t, "checks")}
		w.start()
		current := func() *owner { return w.owners[w.running] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { w.accepted++ },
			"hear": func(t *rapid.T) {
				o := current()
				o.known = rapid.Uint64Range(o.known, w.accepted).Draw(t, "version")
				o.fence.Raise(o.known)
			},
			"confirm":   func(*rapid.T) { w.confirm(current()) },
			"heartbeat": func(*rapid.T) { current().fence.Extend(w.now.Add(trust)) },
			"plan":      func(*rapid.T) { current().plan = instruction.Order{Number: current().known} },
			"send":      func(t *rapid.T) { w.send(current(), rapid.Bool().Draw(t, "lost")) },
			"second":    func(*rapid.T) { w.now = w.now.Add(time.Second) },
			"replace": func(t *rapid.T) {
				w.now = w.now.Add(trust)
				w.start()
				current().known = rapid.Uint64Range(0, w.accepted).Draw(t, "stale")
				current().plan = instruction.Order{Number: current().known}
			},
			"wake": func(t *rapid.T) {
				former := w.owners[rapid.IntRange(0, len(w.owners)-1).Draw(t, "former")]
				if former == current() {
					t.Skip("runs")
				}
				former.fence.Extend(w.now.Add(trust)) // its heartbeat may wake first
				w.send(former, false)
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(w.effects); i++ {
					if w.effects[i] < w.effects[i-1] {
						t.Fatalf("numbers went back: %v", w.effects)
					}
				}
			},
		})
	})
}

// TestWaitingOrderIsCheckedAfterItsWait: an order that waits while another is
// being sent is not sent when a newer number becomes known meanwhile.
func TestWaitingOrderIsCheckedAfterItsWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &instruction.Fence{Now: func() time.Time { return now }}
	f.OpenUntil(now.Add(trust))
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
		for range chancesToCheckEarly {
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
