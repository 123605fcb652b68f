package configversion

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// fleetSeed is the seed of the random numbers of the simulated fleets.
const fleetSeed = 11

// TestProcessRestartDuringLogOutage restarts a process while the log is unavailable. It
// must receive the version in force from its peers.
func TestProcessRestartDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		published := mustPublish(t, store, smallDocument(1))
		f := newFleet(store, 5, fleetSeed)
		stop := f.start(t)
		_, ok := f.awaitAll(published.Version, time.Minute)
		is.True(ok)
		store.Faults.Down.Store(true)
		stop()

		f.nodes[4].register = &Register{}
		f.nodes[4].reader.Register = f.nodes[4].register
		f.nodes[4].exchanger = &Exchanger{Name: "node-4", Register: f.nodes[4].register, Peers: f.nodes[4]}
		stop = f.start(t)
		defer stop()
		_, ok = f.awaitAll(published.Version, time.Minute)
		is.True(ok)
		current, ok := f.nodes[4].register.Current()
		is.True(ok)
		is.Equal(current.ID, published.ID)
	})
}

// TestReadersDisconnectedFromTheLog disconnects half of the nodes from the log. They must
// receive new versions from their peers.
func TestReadersDisconnectedFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		f := newFleet(store, 4, fleetSeed)
		f.nodes[0].journal.down.Store(true)
		f.nodes[1].journal.down.Store(true)
		stop := f.start(t)
		defer stop()
		for i := range 3 {
			published := mustPublish(t, store, smallDocument(i))
			_, ok := f.awaitAll(published.Version, time.Minute)
			is.True(ok)
		}
	})
}

// TestVersionOutlivesRetention runs a fleet for several retention periods. A new reader
// must still find the version in force in the log, without its peers.
func TestVersionOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const republishSeconds, periods = 600, 20
		store := &standin.Store{RetainSeconds: 3600}
		f := newFleet(store, 40, fleetSeed)
		for _, n := range f.nodes {
			n.reader.RepublishSeconds = republishSeconds
		}
		stop := f.start(t)
		mustPublish(t, store, smallDocument(1))
		published := mustPublish(t, store, smallDocument(2))
		time.Sleep(periods * republishSeconds * time.Second)
		stop()

		page, err := store.Read(t.Context(), Stream, 1, pageRecords)
		is.NoErr(err)
		t.Logf("seed %d: %d records appended in %d snapshot periods", fleetSeed, page.Next-1, periods)
		is.True(page.First > 2)             // retention dropped the proposals
		is.True(page.Next-1 <= 2+2*periods) // few readers publish snapshots
		fresh := Reader{Journal: store, Register: &Register{}, FleetSize: func() int { return 1 }}
		is.NoErr(fresh.Poll(t.Context()))
		is.Equal(fresh.Register.State().Configuration.ID, published.ID)
		next := mustPublish(t, store, smallDocument(3))
		is.Equal(next.Version, uint64(3))
	})
}

// TestClockAheadOfTheLog polls each second with a clock that is five hours ahead of the
// log's. The reader must not publish a snapshot at every poll.
func TestClockAheadOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{Now: func() time.Time { return time.Now().Add(-5 * time.Hour) }}
		mustPublish(t, store, smallDocument(1))
		reader := Reader{Journal: store, Register: &Register{}, FleetSize: func() int { return 1 }, RepublishSeconds: 600}
		for range 3000 {
			is.NoErr(reader.Poll(t.Context()))
			time.Sleep(time.Second)
		}
		is.True(recordCount(t, store) <= 1+5) // one snapshot in each period
	})
}

// TestReaderPausedBeyondRetention polls with a reader for which retention has dropped
// records unread. It must fail without a change of the version until the stream holds a
// snapshot.
func TestReaderPausedBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainRecords: 2}
		paused := Reader{Journal: store, Register: &Register{}, FleetSize: func() int { return 1 }}
		mustPublish(t, store, smallDocument(1))
		is.NoErr(paused.Poll(t.Context()))

		mustPublish(t, store, smallDocument(2))
		c := cursor{log: store, state: paused.Register.State()}
		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, proposal("ahead", 7, smallDocument(7)))
		mustAppend(t, store, proposal("loser", 1, smallDocument(8)))
		is.True(errors.Is(paused.Poll(t.Context()), ErrUnanchored))
		is.Equal(paused.Register.Version(), uint64(1)) // keeps its version

		is.NoErr(c.advance(t.Context()))
		mustAppend(t, store, c.state.Snapshot())
		is.NoErr(paused.Poll(t.Context()))
		is.Equal(paused.Register.State().Configuration.ID, c.state.Configuration.ID)
	})
}

// TestObserveFetchesFromThePeer checks that a hint makes a process fetch the version at
// once, long before its next periodic exchange.
func TestObserveFetchesFromThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		published := mustPublish(t, store, smallDocument(1))
		f := newFleet(store, 2, fleetSeed)
		is.NoErr(f.nodes[0].reader.Poll(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		f.nodes[1].exchanger.PeriodMillis = 3_600_000
		g.Go(func() error { return f.nodes[1].exchanger.Run(ctx) })
		f.nodes[1].exchanger.Observe(published.Version, "node-0")
		time.Sleep(10 * linkMillis * time.Millisecond)
		is.Equal(f.nodes[1].register.Version(), published.Version)
		cancel()
		is.NoErr(g.Wait())
	})
}

func TestHandleExchangeLimitsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{}
		mustPublish(t, store, smallDocument(1))
		f := newFleet(store, 1, fleetSeed)
		is.NoErr(f.nodes[0].reader.Poll(t.Context()))
		sent := 0
		for range 20 {
			reply, err := f.nodes[0].exchanger.HandleExchange(t.Context(), &message.ExchangeRequest{})
			is.NoErr(err)
			is.Equal(reply.GetVersion(), uint64(1))
			if len(reply.GetRecord()) > 0 {
				sent++
			}
		}
		is.Equal(sent, recordsPerSecond)
	})
}

// newerPeer is a peer whose version has a newer format.
type newerPeer struct {
	record []byte
	sent   int
}

func (p *newerPeer) Pick() (string, bool) { return "newer", true }

func (p *newerPeer) Exchange(_ context.Context, _ string, request *message.ExchangeRequest) (*message.ExchangeReply, error) {
	reply := &message.ExchangeReply{Version: 2}
	if request.GetVersion() < 2 {
		p.sent++
		reply.Record = p.record
	}
	return reply, nil
}

// TestRecordOfNewerFormatIsFetchedOnce checks that a record in an unsupported format
// leaves the version in force unchanged and is not fetched again.
func TestRecordOfNewerFormatIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &newerPeer{record: compress(t, `{"Format":2,"Kind":"Snapshot","ID":"b","Version":2,"Document":{}}`)}
		register := &Register{}
		_, err := register.Offer(State{Configuration: Configuration{Version: 1, ID: "a"}, Through: 1})
		is.NoErr(err)
		exchanger := &Exchanger{Register: register, Peers: peer}
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
		defer cancel()
		is.NoErr(exchanger.Run(ctx))
		is.Equal(peer.sent, 1)
		is.Equal(register.Version(), uint64(1))
	})
}

// TestRegisterNeverReverts offers states in any order. Neither the version nor the
// prefix may decrease.
func TestRegisterNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		var r Register
		for range 20 {
			before := r.State()
			offered := s.states[rapid.IntRange(0, len(s.records)).Draw(t, "prefix")]
			if _, err := r.Offer(offered); err != nil {
				t.Fatal(err)
			}
			after := r.State()
			if after.Configuration.Version < before.Configuration.Version || after.Through < before.Through {
				t.Fatalf("the register went from version %d through %d to version %d through %d",
					before.Configuration.Version, before.Through, after.Configuration.Version, after.Through)
			}
		}
	})
}

func TestRegisterRefusesAnotherConfigurationOfAVersion(t *testing.T) {
	is := is.New(t)
	var r Register
	changed, err := r.Offer(State{Configuration: Configuration{Version: 1, ID: "a"}, Through: 1})
	is.NoErr(err)
	is.True(changed)
	_, err = r.Offer(State{Configuration: Configuration{Version: 1, ID: "b"}, Through: 2})
	is.True(errors.Is(err, ErrDiverged))
	is.Equal(r.State().Configuration.ID, "a")
}

// countingLog is a log store that counts the records that are read.
type countingLog struct {
	*standin.Store
	records int
}

func (l *countingLog) Read(ctx context.Context, name string, from uint64, limit int) (journal.Page, error) {
	page, err := l.Store.Read(ctx, name, from, limit)
	l.records += len(page.Records)
	return page, err
}

// TestNewReaderStartsNearTheEnd reads a long stream whose last snapshot is near its end,
// with all records retained and with the first records expired.
func TestNewReaderStartsNearTheEnd(t *testing.T) {
	for name, retained := range map[string]int{"whole history": 0, "beginning has expired": 900} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &countingLog{Store: &standin.Store{RetainRecords: retained}}
			c := cursor{log: log}
			for i := range 1000 {
				mustAppend(t, log, proposal(fmt.Sprintf("p%d", i), uint64(i), smallDocument(i)))
				is.NoErr(c.advance(t.Context()))
				if i == 900 {
					mustAppend(t, log, c.state.Snapshot())
				}
			}
			log.records = 0
			fresh := cursor{log: log}
			is.NoErr(fresh.advance(t.Context()))
			is.Equal(fresh.state.Configuration.ID, "p999")
			is.Equal(fresh.state.Through, uint64(1001))
			is.True(log.records < 500) // it did not read the whole stream

			log.records = 0
			full := cursor{log: log, fullHistory: true}
			is.NoErr(full.advance(t.Context()))
			is.Equal(full.state.Configuration.ID, "p999")
		})
	}
}
