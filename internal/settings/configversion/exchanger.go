package configversion

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/records/logging"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// DefaultExchangePeriodMillis is the mean pause between exchanges with
	// random peers.
	DefaultExchangePeriodMillis = 2000
	// AnnouncePeers is the number of random peers that hear of a new version at
	// once.
	AnnouncePeers = 2

	// exchangeTimeoutMillis limits one exchange.
	exchangeTimeoutMillis = 1000
	// recordsPerSecond limits the documents that one process sends.
	recordsPerSecond = 4
	// hintCapacity bounds the hints that wait; further ones are dropped, because
	// the exchange with random peers makes up for them.
	hintCapacity = 8
)

// Peers reaches the other processes.
type Peers interface {
	// Pick returns the address of a random peer. It reports false when none is
	// known.
	Pick() (string, bool)
	// Exchange sends a request to a peer.
	Exchange(ctx context.Context, peer string, request *message.ExchangeRequest) (*message.ExchangeReply, error)
}

// Exchanger compares versions with peers and fetches what this process lacks.
type Exchanger struct {
	// Name is the address at which peers reach this process.
	Name string
	// Register holds the configuration in force.
	Register *Register
	// Peers reaches the other processes.
	Peers Peers
	// PeriodMillis is the mean pause between exchanges with random peers. Zero
	// means DefaultExchangePeriodMillis.
	PeriodMillis int
	// Random returns a number from [0, 1). Nil means math/rand.
	Random func() float64
	// Log writes what operators need to see. Nil writes nothing.
	Log *slog.Logger

	once sync.Once
	// hints are peers that are known to hold a newer version.
	hints chan hint
	// records limits the documents that are sent.
	records *rate.Limiter
	// encoded caches the document in force, compressed.
	encoded atomic.Pointer[encodedState]
	// undecodable is the latest version whose record has a newer format, so that it
	// is not fetched again.
	undecodable atomic.Uint64
}

// hint says that a peer held a version.
type hint struct {
	version uint64
	peer    string
}

// encodedState is a snapshot ready to be sent.
type encodedState struct {
	version uint64
	through uint64
	data    []byte
}

// Run exchanges versions until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	e.init()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.runPeriodic(ctx) })
	g.Go(func() error { return e.runHints(ctx) })
	g.Go(func() error { return e.runAnnounce(ctx) })
	return g.Wait()
}

// runPeriodic exchanges versions with random peers, so that a version reaches
// every process whatever messages were lost.
func (e *Exchanger) runPeriodic(ctx context.Context) error {
	nextAt := time.Now().Add(time.Duration(e.random() * float64(e.period())))
	for sleepUntil(ctx, nextAt) {
		nextAt = time.Now().Add(jittered(e.period(), e.random()))
		e.exchangeWithRandom(ctx)
	}
	return nil
}

// runHints fetches newer versions from peers that are known to hold one.
func (e *Exchanger) runHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-e.hints:
			if h.version > e.knownVersion() {
				e.exchange(ctx, h.peer)
			}
		}
	}
}

// runAnnounce tells random peers of each new version at once.
func (e *Exchanger) runAnnounce(ctx context.Context) error {
	for {
		changed := e.Register.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			for range AnnouncePeers {
				e.exchangeWithRandom(ctx)
			}
		}
	}
}

func (e *Exchanger) exchangeWithRandom(ctx context.Context) {
	if peer, ok := e.Peers.Pick(); ok {
		e.exchange(ctx, peer)
	}
}

// exchange compares versions with one peer. Failures are not reported, because
// the next exchange makes up for them.
func (e *Exchanger) exchange(ctx context.Context, peer string) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(exchangeTimeoutMillis*time.Millisecond))
	defer cancel()
	request := e.request()
	reply, err := e.Peers.Exchange(ctx, peer, request)
	if err != nil {
		e.logger().Debug("peer gave no answer", "Peer", peer, "Error", err)
		return
	}
	if reply.GetVersion() <= e.knownVersion() || len(reply.GetRecord()) == 0 {
		return
	}
	if err := e.adopt(reply.GetRecord()); err != nil {
		if errors.Is(err, ErrNewerFormat) {
			e.undecodable.Store(reply.GetVersion())
		}
		e.logger().Warn("record of a peer is not taken", "Peer", peer, "Error", err)
	}
}

// request asks for what is newer than the version that is known here. It bears
// no name when that version could not be taken, so that no peer asks for it.
func (e *Exchanger) request() *message.ExchangeRequest {
	version := e.Register.Version()
	if known := e.knownVersion(); known > version {
		return &message.ExchangeRequest{Version: known}
	}
	return &message.ExchangeRequest{Name: e.Name, Version: version}
}

// knownVersion returns the highest version that need not be fetched.
func (e *Exchanger) knownVersion() uint64 {
	return max(e.Register.Version(), e.undecodable.Load())
}

// adopt puts a snapshot that a peer sent in force.
func (e *Exchanger) adopt(data []byte) error {
	state, err := decodeState(data)
	if err != nil {
		return err
	}
	changed, err := e.Register.Offer(state)
	if changed {
		e.logger().Info("version is taken from a peer", "Version", state.Configuration.Version)
	}
	return err
}

func (e *Exchanger) init() {
	e.once.Do(func() {
		e.hints = make(chan hint, hintCapacity)
		e.records = rate.NewLimiter(recordsPerSecond, recordsPerSecond)
	})
}

func (e *Exchanger) logger() *slog.Logger {
	return logging.For(e.Log, logging.Edition)
}

func (e *Exchanger) period() time.Duration {
	if e.PeriodMillis == 0 {
		return DefaultExchangePeriodMillis * time.Millisecond
	}
	return time.Duration(e.PeriodMillis) * time.Millisecond
}

func (e *Exchanger) random() float64 {
	if e.Random == nil {
		return rand.Float64()
	}
	return e.Random()
}
