package leaseholder

import (
	"context"
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	historyHosts   = 3
	historyKeys    = 3
	historyCalls   = 8
	historyCallers = 4
)

// historySeeds is the number of seeded histories to run.
var historySeeds = flag.Uint64("seeds", 40, "number of seeded histories")

// history records the claims and what the owners did with the permits.
type history struct {
	mu sync.Mutex
	// clock is a logical clock that orders calls and returns.
	clock int64
	calls []porcupine.Operation
	// refused and ran are the requests that the owners refused or ran. runs
	// counts the runs of each key.
	refused, ran map[string]bool
	runs         map[string]int
}

// tick advances the logical clock.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// add records a claim. A claim may have reached two holders, so if the reply has no
// permit for the claim's own request, the claim may still have bound the key, or may
// bind it at any later time. Such a claim is recorded as a call that never returned.
// A permit for another request is recorded as well, as the return of the claim.
func (h *history) add(caller int, in claimInput, call int64, permit *message.Permit) {
	returned := h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	o := porcupine.Operation{ClientId: caller, Input: in, Call: call, Output: permit.GetRequestId(), Return: returned}
	if permit != nil {
		h.calls = append(h.calls, o)
	}
	if o.Output != in.Request {
		o.Output, o.Return = "", math.MaxInt64
		h.calls = append(h.calls, o)
	}
}

// runOrRefuse lets the owner run a request once, or refuse it permanently. It
// reports whether the owner refused it.
func (h *history) runOrRefuse(p *message.Permit, refuse bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := p.GetRequestId()
	switch {
	case h.refused[id]:
		return true
	case h.ran[id]:
		return false
	case refuse:
		h.refused[id] = true
		return true
	default:
		h.ran[id] = true
		h.runs[p.GetKey()]++
		return false
	}
}

// check returns an error if requests of the same key ran more than once, or if the
// claims are not linearizable.
func (h *history) check() error {
	for key, runs := range h.runs {
		if runs > 1 {
			return errors.Newf("key %s ran %d times", key, runs)
		}
	}
	if porcupine.CheckOperationsTimeout(bindingModel(), h.calls, 30*time.Second) != porcupine.Ok {
		return errors.New("claims are not linearizable")
	}
	return nil
}

// caller sends claims to random hosts and passes the permits to the owners.
func (h *history) caller(cl *cluster, number int, keys []string) {
	random := newRandomSource(cl.seed, uint64(number))
	var refused *message.Permit
	for i := range historyCalls {
		time.Sleep(random.pause(3 * time.Second))
		host := cl.host(random.below(historyHosts))
		if host == nil {
			continue
		}
		in := claimInput{Key: keys[random.below(len(keys))], Request: fmt.Sprintf("r%d-%d", number, i)}
		r := request(in.Key, in.Request)
		if refused != nil && random.chance(80) {
			in.Key, in.Refused = refused.GetKey(), refused.GetRequestId()
			r.Key, r.Refused = refused.GetKey(), refused
		}
		call := h.tick()
		reply, err := host.Claim(cl.ctx, r)
		if err != nil {
			reply = &message.ClaimReply{}
		}
		h.add(number, in, call, reply.GetPermit())
		if p := reply.GetPermit(); p != nil && h.runOrRefuse(p, random.chance(40)) {
			refused = p
		}
	}
}

// injectFaults kills and restarts hosts, and makes the log unavailable for some
// time, until ctx is done.
func injectFaults(ctx context.Context, cl *cluster) error {
	random := newRandomSource(cl.seed, 1000)
	for ctx.Err() == nil {
		time.Sleep(random.pause(4 * time.Second))
		i := random.below(historyHosts)
		switch random.below(4) {
		case 0:
			cl.kill(i)
		case 1:
			cl.store.Faults.Down.Store(true)
			time.Sleep(random.pause(3 * time.Second))
			cl.store.Faults.Down.Store(false)
		default:
			if cl.host(i) == nil {
				cl.start(i)
			}
		}
	}
	return nil
}

// historyCounts counts the events of histories.
type historyCounts struct{ Permits, Runs, Leases, Batches, Rebinds int }

// count adds the events of one history.
func (c *historyCounts) count(cl *cluster, h *history) {
	c.Runs += len(h.ran)
	for _, o := range h.calls {
		if o.Output != "" {
			c.Permits++
		}
	}
	for n := range uint32(2) {
		page, _ := cl.store.Read(context.Background(), claim.StreamOf(n), 1, 1000)
		for _, r := range page.Records {
			switch r := claim.Decode(r.Data).(type) {
			case claim.Lease:
				c.Leases++
			case claim.Batch:
				c.Batches++
				c.Rebinds += len(r.Rebinds)
			}
		}
	}
}

// runHistory runs one seeded history in virtual time, adds its events to c, and
// returns the error of its check.
func runHistory(t *testing.T, seed uint64, change func(*Holder), c *historyCounts) (err error) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t.Context(), seed, historyHosts, 6, change)
		h := &history{refused: map[string]bool{}, ran: map[string]bool{}, runs: map[string]int{}}
		var keys []string
		for i := range historyKeys {
			keys = append(keys, testKey(time.Now(), i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var faults, callers errgroup.Group
		faults.Go(func() error { return injectFaults(ctx, cl) })
		for i := range historyCallers {
			callers.Go(func() error {
				h.caller(cl, i, keys)
				return nil
			})
		}
		_ = callers.Wait()
		cancel()
		_ = faults.Wait()
		cl.stop()
		cl.store.Faults.Down.Store(false)
		c.count(cl, h)
		err = h.check()
	})
	return err
}

// TestHistories checks seeded histories of claims at several hosts under random
// faults: at most one request of each key runs, and the claims are linearizable.
func TestHistories(t *testing.T) {
	var c historyCounts
	for seed := range *historySeeds {
		if err := runHistory(t, seed, nil, &c); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	t.Logf("seeds 0 to %d: %+v", *historySeeds-1, c)
	if c.Runs < int(*historySeeds) {
		t.Errorf("%d runs are too few for %d histories to be conclusive", c.Runs, *historySeeds)
	}
}

// eagerLog returns a successfully appended record as the next record of the stream,
// so that the holder issues permits without reading back. Append returns offset 1, so
// that the holder does not wait for the real offset to become visible.
type eagerLog struct {
	journal.Log
	mu      sync.Mutex
	pending map[string][]byte
}

func (e *eagerLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := e.Log.Append(ctx, stream, data)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending[stream] = data
	return min(offset, 1), nil
}

func (e *eagerLog) Read(ctx context.Context, stream string, from uint64, limit int) (journal.Page, error) {
	e.mu.Lock()
	data, ok := e.pending[stream]
	delete(e.pending, stream)
	e.mu.Unlock()
	if !ok {
		return e.Log.Read(ctx, stream, from, limit)
	}
	r := journal.Record{Offset: from, AppendedAt: time.Now(), Data: data}
	return journal.Page{Records: []journal.Record{r}, First: 1, Next: from + 1}, nil
}

// timedState trusts the lease of its own host for a fixed time, regardless of the
// lease records that others append.
type timedState struct {
	*claim.State
	name  string
	epoch string
	until time.Time
}

func (s *timedState) Apply(offset uint64, at time.Time, r claim.Record) claim.Verdict {
	if l, ok := r.(claim.Lease); ok && l.Holder == s.name {
		s.epoch, s.until = l.Epoch, time.Now().Add(time.Minute)
	}
	if b, ok := r.(claim.Batch); ok && b.Epoch == s.epoch {
		return s.State.Apply(offset, at, r)
	}
	if l, ok := r.(claim.Lease); (!ok || l.Epoch != s.epoch) && time.Now().Before(s.until) {
		r = claim.Unknown{}
	}
	return s.State.Apply(offset, at, r)
}

// TestBrokenHoldersAreFound checks that the histories detect holders that violate
// the protocol.
func TestBrokenHoldersAreFound(t *testing.T) {
	variants := map[string]func(*Holder){
		"permit before read-back": func(h *Holder) {
			h.Log = &eagerLog{Log: h.Log, pending: map[string][]byte{}}
		},
		"lease by time": func(h *Holder) {
			h.newState = func(partition uint32, from uint64) state {
				return &timedState{State: claim.NewState(partition, h.keyWindowSeconds(), from), name: h.Name}
			}
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range *historySeeds {
				if err := runHistory(t, seed, change, &historyCounts{}); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no violation in %d seeds", *historySeeds)
		})
	}
}
