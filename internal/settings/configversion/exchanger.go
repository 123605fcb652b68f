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
	// DefaultExchangePeriodMillis is the default of Exchanger.PeriodMillis.
	DefaultExchangePeriodMillis = 2000
	// AnnouncePeers is the number of random peers with which a process exchanges
	// versions immediately after its own version has changed.
	AnnouncePeers = 2

	// exchangeTimeoutMillis is the time limit of one exchange.
	exchangeTimeoutMillis = 1000
	// recordsPerSecond is the maximum rate of records that one process sends.
	recordsPerSecond = 4
	// hintCapacity is the maximum number of queued hints. Further hints are
	// dropped; the periodic exchange makes up for them.
	hintCapacity = 8
)

// Peers sends requests to the other processes.
type Peers interface {
	// Pick returns the address of a random peer, or false when none is known.
	Pick() (string, bool)
	// Exchange sends a request to a peer.
	Exchange(ctx context.Context, peer string, request *message.ExchangeRequest) (*message.ExchangeReply, error)
}

// Exchanger exchanges version numbers with peers, and fetches newer configurations
// from them.
type Exchanger struct {
	// Name is the address at which peers reach this process.
	Name string
	// Register holds the configuration in force.
	Register *Register
	// Peers sends the requests.
	Peers Peers
	// PeriodMillis is the mean pause between exchanges with random peers. Zero
	// means DefaultExchangePeriodMillis.
	PeriodMillis int
	// Random returns a random number from [0, 1). Nil means math/rand.
	Random func() float64
	// Log receives messages for operators. Nil discards them.
	Log *slog.Logger

	once sync.Once
	// hints holds peers that have reported a newer version.
	hints chan hint
	// records limits the rate of sent records.
	records *rate.Limiter
	// encoded caches the encoded snapshot of the state in force.
	encoded atomic.Pointer[encodedState]
	// undecodable is the latest version whose record has a newer format than this
	// program supports. It is kept so that the record is not fetched again.
	undecodable atomic.Uint64
}

// hint records that a peer held a version.
type hint struct {
	version uint64
	peer    string
}

// encodedState is the encoded snapshot of a state, which version and through identify.
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

// runPeriodic exchanges versions with random peers at random intervals, so that a
// version reaches every process even when messages are lost.
func (e *Exchanger) runPeriodic(ctx context.Context) error {
	nextAt := time.Now().Add(time.Duration(e.random() * float64(e.period())))
	for sleepUntil(ctx, nextAt) {
		nextAt = time.Now().Add(jittered(e.period(), e.random()))
		e.exchangeWithRandom(ctx)
	}
	return nil
}

// runHints fetches newer versions from the peers that have reported them.
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

// runAnnounce exchanges versions with random peers immediately after each change of
// the version in this process.
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

// exchange exchanges versions with one peer, and puts the peer's version in force when
// it is newer. Failures are only logged, because the next exchange makes up for them.
func (e *Exchanger) exchange(ctx context.Context, peer string) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(exchangeTimeoutMillis*time.Millisecond))
	defer cancel()
	request := e.request()
	reply, err := e.Peers.Exchange(ctx, peer, request)
	if err != nil {
		e.logger().Debug("version exchange with a peer failed", "Peer", peer, "Error", err)
		return
	}
	if reply.GetVersion() <= e.knownVersion() || len(reply.GetRecord()) == 0 {
		return
	}
	if err := e.adopt(reply.GetRecord()); err != nil {
		if errors.Is(err, ErrNewerFormat) {
			e.undecodable.Store(reply.GetVersion())
		}
		e.logger().Warn("configuration record of a peer was rejected", "Peer", peer, "Error", err)
	}
}

// request returns a request for any version that is newer than the known one. It omits
// the name of this process when the known version is undecodable, because peers would
// otherwise try to fetch that version from here.
func (e *Exchanger) request() *message.ExchangeRequest {
	version := e.Register.Version()
	if known := e.knownVersion(); known > version {
		return &message.ExchangeRequest{Version: known}
	}
	return &message.ExchangeRequest{Name: e.Name, Version: version}
}

// knownVersion returns the highest version that need not be fetched: the one in force,
// or a later one that is undecodable.
func (e *Exchanger) knownVersion() uint64 {
	return max(e.Register.Version(), e.undecodable.Load())
}

// adopt puts the snapshot in a peer's reply in force when it is newer.
func (e *Exchanger) adopt(data []byte) error {
	state, err := decodeState(data)
	if err != nil {
		return err
	}
	changed, err := e.Register.Offer(state)
	if changed {
		e.logger().Info("configuration version received from a peer", "Version", state.Configuration.Version)
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
