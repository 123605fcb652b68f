package leaseholder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

var errNoAnswer = errors.New("no answer")

// testKey returns the identity of a key made at the given time.
func testKey(made time.Time, number int) string {
	var id uuid.UUID
	millis := made.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	id[13], id[14], id[15] = byte(number>>16), byte(number>>8), byte(number)
	key, err := claim.KeyOf("account", id.String())
	if err != nil {
		panic(err)
	}
	return key
}

// randomSource is a seeded source that many goroutines use.
type randomSource struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// newRandomSource returns the source of one part of a world.
func newRandomSource(seed, part uint64) *randomSource {
	return &randomSource{rnd: rand.New(rand.NewPCG(seed, part))}
}

// pause returns a time of up to the given one. It is fine enough that hardly
// any two events fall together.
func (d *randomSource) pause(most time.Duration) time.Duration {
	return time.Duration(d.below(int(most)))
}

func (d *randomSource) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rnd.IntN(n)
}

func (d *randomSource) chance(percent int) bool { return d.below(100) < percent }

// faultyLog is one host's way to the log. It loses calls and answers, lets
// appends take effect late, and pauses its host before a call, which then still
// goes out.
type faultyLog struct {
	log     journal.Log
	random  *randomSource
	percent int
	// late holds the appends that take effect after their answer was lost.
	late *errgroup.Group
}

func (f *faultyLog) delay(ctx context.Context) context.Context {
	time.Sleep(f.random.pause(10 * time.Millisecond))
	if f.random.chance(f.percent) {
		time.Sleep(f.random.pause(20 * time.Second))
		return context.WithoutCancel(ctx)
	}
	return ctx
}

func (f *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx = f.delay(ctx)
	if f.random.chance(f.percent) {
		return 0, journal.ErrUnavailable
	}
	if f.random.chance(f.percent) {
		f.appendLate(ctx, stream, data)
		return 0, journal.ErrUnknown
	}
	offset, err := f.log.Append(ctx, stream, data)
	if f.random.chance(f.percent) {
		return 0, journal.ErrUnknown
	}
	return offset, err
}

func (f *faultyLog) appendLate(ctx context.Context, stream string, data []byte) {
	wait := f.random.pause(5 * time.Second)
	f.late.Go(func() error {
		time.Sleep(wait)
		_, err := f.log.Append(context.WithoutCancel(ctx), stream, data)
		return err
	})
}

func (f *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int) (journal.Page, error) {
	ctx = f.delay(ctx)
	return f.log.Read(ctx, stream, from, limit)
}

// cluster is a set of entry hosts over one log, in virtual time.
type cluster struct {
	ctx   context.Context
	store *standin.Store
	seed  uint64
	// percent is the chance of each fault.
	percent int
	// change alters a host before it runs; nil changes nothing.
	change func(*Holder)
	group  errgroup.Group

	mu    sync.Mutex
	hosts []*Holder
	stops []context.CancelFunc
}

func newCluster(ctx context.Context, seed uint64, hosts, percent int, change func(*Holder)) *cluster {
	w := &cluster{ctx: ctx, store: &standin.Store{}, seed: seed, percent: percent, change: change}
	w.hosts, w.stops = make([]*Holder, hosts), make([]context.CancelFunc, hosts)
	for i := range hosts {
		w.start(i)
	}
	return w
}

// start runs a new process of host i.
func (w *cluster) start(i int) {
	name := fmt.Sprintf("host-%d", i)
	h := &Holder{
		Log:        w.store,
		Name:       name,
		Address:    name,
		Partitions: 2,
		Hosts:      w.hostList,
		Dial:       w.dial,
		Logger:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if w.percent > 0 {
		h.Log = &faultyLog{log: w.store, random: newRandomSource(w.seed, uint64(100+i)), percent: w.percent, late: &w.group}
	}
	if w.change != nil {
		w.change(h)
	}
	h.once.Do(h.prepare)
	for _, p := range h.partitions {
		p.takeoverBackoff.RandomizationFactor = 0
		p.logBackoff.RandomizationFactor = 0
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.group.Go(func() error { return h.Run(ctx) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[i], w.stops[i] = h, stop
}

// kill ends the process of host i, at once and without a word.
func (w *cluster) kill(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hosts[i] != nil {
		w.stops[i]()
		w.hosts[i] = nil
	}
}

// stop ends all processes.
func (w *cluster) stop() {
	for i := range w.hosts {
		w.kill(i)
	}
	_ = w.group.Wait()
}

func (w *cluster) host(i int) *Holder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[i]
}

// hostList returns all hosts, dead ones too, as a lagging list does.
func (w *cluster) hostList() []Host {
	all := make([]Host, len(w.hosts))
	for i := range all {
		all[i] = Host{Name: fmt.Sprintf("host-%d", i), Address: fmt.Sprintf("host-%d", i)}
	}
	return all
}

func (w *cluster) dial(_ context.Context, address string) (Client, error) {
	var i int
	if _, err := fmt.Sscanf(address, "host-%d", &i); err != nil {
		return nil, err
	}
	return &link{cluster: w, host: i, random: newRandomSource(w.seed, uint64(time.Now().UnixNano()))}, nil
}

// link is a connection that may lose a request or its answer.
type link struct {
	cluster *cluster
	host    int
	random  *randomSource
}

func (l *link) Claim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error) {
	h := l.cluster.host(l.host)
	if h == nil || l.random.chance(l.cluster.percent) {
		return nil, errNoAnswer
	}
	reply, err := h.HandleClaim(ctx, proto.CloneOf(r))
	if l.cluster.host(l.host) != h || l.random.chance(l.cluster.percent) {
		return nil, errNoAnswer
	}
	return reply, err
}

// request returns a claim of the key for a request of the same name.
func request(key, name string) *message.ClaimRequest {
	return &message.ClaimRequest{Key: key, RequestId: name, Backend: "backend", Incarnation: 1}
}

// mustClaim claims at one host and fails the test on an error.
func mustClaim(t *testing.T, h *Holder, r *message.ClaimRequest) *message.ClaimReply {
	t.Helper()
	reply, err := h.Claim(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}
