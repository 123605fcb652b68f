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

// errNoAnswer is the error of a lost request or response.
var errNoAnswer = errors.New("no answer")

// testKey returns the identity of a key created at the given time.
func testKey(created time.Time, number int) string {
	var id uuid.UUID
	millis := created.UnixMilli()
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

// randomSource is a seeded source of random numbers. It is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// newRandomSource returns the source for one part of a cluster.
func newRandomSource(seed, part uint64) *randomSource {
	return &randomSource{rnd: rand.New(rand.NewPCG(seed, part))}
}

// pause returns a random duration below limit. Its resolution of 1 ns makes it
// unlikely that two events coincide.
func (r *randomSource) pause(limit time.Duration) time.Duration {
	return time.Duration(r.below(int(limit)))
}

func (r *randomSource) below(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

func (r *randomSource) chance(percent int) bool { return r.below(100) < percent }

// faultyLog is one host's connection to the log, with injected faults: it loses
// calls and responses, delays appends until after their error was returned, and
// pauses the host before a call, which is then made even if its context is done.
type faultyLog struct {
	log     journal.Log
	random  *randomSource
	percent int
	// late runs the appends that take effect after their error was returned.
	late *errgroup.Group
}

// delay waits before a call and returns the context for it.
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

// appendLate appends the record after a random delay.
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

// cluster is a set of entry hosts that share one log, in virtual time.
type cluster struct {
	ctx   context.Context
	store *standin.Store
	seed  uint64
	// percent is the probability of each fault.
	percent int
	// change modifies a host before it starts. Nil changes nothing.
	change func(*Holder)
	group  errgroup.Group

	mu    sync.Mutex
	hosts []*Holder
	stops []context.CancelFunc
}

func newCluster(ctx context.Context, seed uint64, hosts, percent int, change func(*Holder)) *cluster {
	cl := &cluster{ctx: ctx, store: &standin.Store{}, seed: seed, percent: percent, change: change}
	cl.hosts, cl.stops = make([]*Holder, hosts), make([]context.CancelFunc, hosts)
	for i := range hosts {
		cl.start(i)
	}
	return cl
}

// start starts a new process of host i.
func (cl *cluster) start(i int) {
	name := fmt.Sprintf("host-%d", i)
	h := &Holder{
		Log:        cl.store,
		Name:       name,
		Address:    name,
		Partitions: 2,
		Hosts:      cl.hostList,
		Dial:       cl.dial,
		Logger:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if cl.percent > 0 {
		h.Log = &faultyLog{log: cl.store, random: newRandomSource(cl.seed, uint64(100+i)), percent: cl.percent, late: &cl.group}
	}
	if cl.change != nil {
		cl.change(h)
	}
	h.once.Do(h.prepare)
	for _, p := range h.partitions {
		p.takeoverBackoff.RandomizationFactor = 0
		p.logBackoff.RandomizationFactor = 0
	}
	ctx, stop := context.WithCancel(cl.ctx)
	cl.group.Go(func() error { return h.Run(ctx) })
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[i], cl.stops[i] = h, stop
}

// kill stops the process of host i without a graceful shutdown.
func (cl *cluster) kill(i int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.hosts[i] != nil {
		cl.stops[i]()
		cl.hosts[i] = nil
	}
}

// stop stops all processes and waits for them.
func (cl *cluster) stop() {
	for i := range cl.hosts {
		cl.kill(i)
	}
	_ = cl.group.Wait()
}

// host returns the process of host i, or nil if it was killed.
func (cl *cluster) host(i int) *Holder {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.hosts[i]
}

// hostList returns all hosts, including killed ones, like a host list that is not
// yet up to date.
func (cl *cluster) hostList() []Host {
	all := make([]Host, len(cl.hosts))
	for i := range all {
		all[i] = Host{Name: fmt.Sprintf("host-%d", i), Address: fmt.Sprintf("host-%d", i)}
	}
	return all
}

func (cl *cluster) dial(_ context.Context, address string) (Client, error) {
	var i int
	if _, err := fmt.Sscanf(address, "host-%d", &i); err != nil {
		return nil, err
	}
	return &link{cluster: cl, host: i, random: newRandomSource(cl.seed, uint64(time.Now().UnixNano()))}, nil
}

// link is a connection that may lose a request or its response.
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

// request returns a claim of the key for the request with the given ID.
func request(key, requestID string) *message.ClaimRequest {
	return &message.ClaimRequest{Key: key, RequestId: requestID, Backend: "backend", Incarnation: 1}
}

// mustClaim sends a claim to one host and fails the test on an error.
func mustClaim(t *testing.T, h *Holder, r *message.ClaimRequest) *message.ClaimReply {
	t.Helper()
	reply, err := h.Claim(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}
