package configversion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// linkMillis is the one-way latency between two nodes.
	linkMillis = 1
	// framingBytes is the traffic of one exchange at each end in addition to its
	// messages, in both directions: set-up of a connection, acknowledgements and
	// call headers.
	framingBytes = 900
	// readBytes is the traffic of a read of the log in addition to its records.
	readBytes = 900
)

var errLinkDown = errors.New("link is down")

// fleet is a set of simulated nodes in one test process.
type fleet struct {
	nodes []*node
	// lossPermille is the fraction of exchanges that fail, in thousandths.
	lossPermille int

	mu     sync.Mutex
	random *rand.Rand
}

// node simulates one process: a register, a reader and an exchanger.
type node struct {
	fleet     *fleet
	name      string
	register  *Register
	reader    *Reader
	exchanger *Exchanger
	journal   *meteredLog
	// down disconnects the node from its peers.
	down atomic.Bool
	// bytes counts the bytes that the node has sent and received.
	bytes atomic.Int64
	// messages counts the exchanges and reads in which the node took part.
	messages atomic.Int64
}

// meteredLog counts the bytes of reads, and fails all reads while down is set.
type meteredLog struct {
	journal.Log
	node *node
	down atomic.Bool
}

func (l *meteredLog) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	l.node.messages.Add(1)
	l.node.bytes.Add(readBytes)
	if l.down.Load() {
		return journal.Page{}, journal.ErrUnavailable
	}
	page, err := l.Log.Read(ctx, name, from, limit)
	for _, record := range page.Records {
		l.node.bytes.Add(int64(len(record.Data)) * 4 / 3) // records are base64 on the wire
	}
	return page, err
}

func newFleet(log journal.Log, size int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2))}
	for range size {
		f.add(log)
	}
	return f
}

// add returns a new node that has not started yet.
func (f *fleet) add(log journal.Log) *node {
	n := &node{fleet: f, name: fmt.Sprintf("node-%d", len(f.nodes)), register: &Register{}}
	n.journal = &meteredLog{Log: log, node: n}
	n.reader = &Reader{Journal: n.journal, Register: n.register, FleetSize: f.size, Random: f.float}
	n.exchanger = &Exchanger{Name: n.name, Register: n.register, Peers: n, Random: f.float}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) size() int { return len(f.nodes) }

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// start runs all nodes until the returned function is called.
func (f *fleet) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	for _, n := range f.nodes {
		g.Go(func() error { return n.run(ctx) })
	}
	return func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}
}

func (n *node) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.reader.Run(ctx) })
	g.Go(func() error { return n.exchanger.Run(ctx) })
	return g.Wait()
}

// Pick returns a random other node.
func (n *node) Pick() (string, bool) {
	if len(n.fleet.nodes) < 2 {
		return "", false
	}
	for {
		peer := n.fleet.nodes[n.fleet.intN(len(n.fleet.nodes))]
		if peer != n {
			return peer.name, true
		}
	}
}

// Exchange delivers a request to another node, unless the exchange is lost.
func (n *node) Exchange(ctx context.Context, peer string, request *message.ExchangeRequest) (*message.ExchangeReply, error) {
	var at int
	if _, err := fmt.Sscanf(peer, "node-%d", &at); err != nil {
		return nil, err
	}
	to := n.fleet.nodes[at]
	n.count(framingBytes + proto.Size(request))
	if n.down.Load() || to.down.Load() || n.fleet.intN(1000) < n.fleet.lossPermille {
		<-ctx.Done() // a lost exchange gets no answer
		return nil, errLinkDown
	}
	to.count(framingBytes + proto.Size(request))
	time.Sleep(linkMillis * time.Millisecond)
	reply, err := to.exchanger.HandleExchange(ctx, request)
	time.Sleep(linkMillis * time.Millisecond)
	if err == nil {
		n.bytes.Add(int64(proto.Size(reply)))
		to.bytes.Add(int64(proto.Size(reply)))
	}
	return reply, err
}

func (n *node) count(bytes int) {
	n.messages.Add(1)
	n.bytes.Add(int64(bytes))
}

// lagging returns the number of nodes in which an older version is in force.
func (f *fleet) lagging(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.register.Version() < version {
			count++
		}
	}
	return count
}

// awaitAll waits until the version is in force in all nodes, and returns how long that
// took. It returns false when the limit was reached first.
func (f *fleet) awaitAll(version uint64, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	for f.lagging(version) > 0 {
		if time.Since(begin) > limit {
			return limit, false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin), true
}

// mustPublish applies an operator file in place of the version in force.
func mustPublish(t *testing.T, log journal.Log, text []byte) Configuration {
	t.Helper()
	publisher := Publisher{Journal: log}
	published, err := publisher.Publish(t.Context(), Change{Author: "operator", ReplacesCurrent: true, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	return published
}

// faultyReads is a log store in which some reads fail.
type faultyReads struct {
	*standin.Store
	fleet        *fleet
	lossPermille int
}

func (l *faultyReads) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	if l.fleet.intN(1000) < l.lossPermille {
		return journal.Page{}, journal.ErrUnavailable
	}
	return l.Store.Read(ctx, name, from, limit)
}
