package storewatcher

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/records/storecalls"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// Faults of the store as one host sees it.
const (
	storeHangs = iota + 1
	storeRefuses
)

// fleetHost is an entry host with its path to the store.
type fleetHost struct {
	*storecache.Cache
	watcher  *Watcher
	listener net.Listener
	calls    storecalls.Counter
	// fault is the fault of the store, and frozen whether the host answers no other host.
	fault  atomic.Int32
	frozen atomic.Bool
	stop   context.CancelFunc
}

func (h *fleetHost) RoundTrip(q *http.Request) (*http.Response, error) {
	switch {
	case h.fault.Load() == storeHangs || h.frozen.Load():
		<-q.Context().Done()
		return nil, errors.New("the store does not answer")
	case h.fault.Load() == storeRefuses:
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: http.NoBody, Request: q}, nil
	}
	return http.DefaultTransport.RoundTrip(q)
}

func (h *fleetHost) Read(ctx context.Context, request *digest.ReadRequest) (*digest.ReadReply, error) {
	if h.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.Cache.Read(ctx, request)
}

// made returns the number of calls that hosts have made.
func made(hosts []*fleetHost) (sum int64) {
	for _, h := range hosts {
		for _, total := range h.calls.Totals() {
			sum += total.Calls
		}
	}
	return sum
}

const (
	fleetReaders, fleetHosts   = 3, 12
	fleetTopics, fleetApplyMax = 3, 3000
)

// startFleet starts all hosts of a deployment at once, the readers first in the order of addresses.
func startFleet(t *testing.T, store *keyedlog.Log) []*fleetHost {
	t.Helper()
	var group errgroup.Group
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	group.Go(func() error { return store.Serve(ctx, "127.0.0.1:0", store.Routes()) })
	hosts := make([]*fleetHost, fleetHosts)
	var addresses []string
	for n := range hosts {
		h := &fleetHost{Cache: &storecache.Cache{}}
		var err error
		h.listener, err = transport.ListenPeers(ctx, "127.0.0.1:0")
		is.New(t).NoErr(err)
		hosts[n] = h
		addresses = append(addresses, h.listener.Addr().String())
	}
	slices.SortFunc(hosts, func(a, b *fleetHost) int {
		return slices.Compare([]byte(a.listener.Addr().String()), []byte(b.listener.Addr().String()))
	})
	slices.Sort(addresses)
	for n, h := range hosts {
		h.watcher = &Watcher{
			Store:     &platform.Store{Address: store.Addr(), HTTP: &http.Client{Transport: h}, Calls: &h.calls},
			Readers:   addresses[:fleetReaders],
			Address:   addresses[n],
			Cache:     h.Cache,
			OnCrashes: func([]platform.Record, bool) {},
			Log:       slog.New(slog.DiscardHandler),
		}
		mux := drpcmux.New()
		is.New(t).NoErr(digest.DRPCRegisterDigest(mux, h))
		hostCtx, stopHost := context.WithCancel(ctx)
		h.stop = stopHost
		group.Go(func() error { return (&transport.Server{Listener: h.listener, Handler: mux}).Run(hostCtx) })
		group.Go(func() error { return h.watcher.Run(hostCtx) })
	}
	return hosts
}

// awaitEvacuation waits until the order has reached all hosts.
func awaitEvacuation(t *testing.T, hosts []*fleetHost, zone string) {
	t.Helper()
	for _, h := range hosts {
		for !h.watcher.Evacuated(zone) {
			boottime.Pause(t.Context(), 1)
		}
	}
}

// polls bounds the calls of a host that reads the store alone for a time without changes.
func polls(millis int64) int64 {
	return millis/changeWaitMillis + millis/(changeWaitMillis+serversPauseMillis) + millis/crashesWaitMillis + fleetTopics
}

// TestFleetCallsAndBounds guards two things at once: that the calls of a whole deployment stay those
// of one reader, and that changes and confirmations reach every sound host in time when that reader
// fails in each way. The bounds on calls follow from the design: in the time of a fault one reader
// polls; each reader reads a topic once for each time that another one fails it, which happens at
// most six times in four seconds as the pauses double; every other host reads each topic at most once.
func TestFleetCallsAndBounds(t *testing.T) {
	const playMillis, probes = 4000, 6
	for name, fail := range map[string]func(first *fleetHost){
		"sound":       nil,
		"killed":      func(first *fleetHost) { first.stop() },
		"frozen":      func(first *fleetHost) { first.frozen.Store(true) },
		"partitioned": func(first *fleetHost) { first.fault.Store(storeHangs) },
		"turned away": func(first *fleetHost) { first.fault.Store(storeRefuses) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := &keyedlog.Log{}
			store.Put(platform.ConfigurationTopic, "evacuate/old", []byte("{}"))
			began := boottime.Now()
			hosts := startFleet(t, store)
			awaitEvacuation(t, hosts, "old")
			boottime.Pause(t.Context(), 1000)
			startMillis := boottime.Now().MillisSince(began)
			started := made(hosts)
			t.Logf("%s: %d calls in %d ms at the start", name, started, startMillis)
			is.True(started <= polls(startMillis)+fleetTopics*fleetReaders) // if the first reader is late, the others read, too
			sound := hosts
			const changes = 1
			bound := polls(changeWaitMillis+playMillis) + changes
			if fail != nil {
				fail(hosts[0])
				boottime.Pause(t.Context(), changeWaitMillis+50) // reads that wait already end without the change
				bound += polls(playMillis) + (fleetReaders-1)*(fleetTopics-1)*probes + (fleetHosts-fleetReaders)*(fleetTopics-1)
			}
			if name == "killed" || name == "frozen" {
				sound = hosts[1:]
			}
			changedAt := boottime.Now()
			store.Put(platform.ConfigurationTopic, "evacuate/new", []byte("{}"))
			oldestMillis, arrivedMillis := int64(0), make([]int64, len(sound))
			for boottime.Now().MillisSince(changedAt) < playMillis {
				for n, h := range sound {
					now := boottime.Now()
					oldestMillis = max(oldestMillis, now.MillisSince(h.watcher.Configuration().ConfirmedAt))
					if arrivedMillis[n] == 0 && h.watcher.Evacuated("new") {
						arrivedMillis[n] = now.MillisSince(changedAt) + 1
					}
				}
				boottime.Pause(t.Context(), 5)
			}
			for _, millis := range arrivedMillis {
				is.True(millis > 0 && millis < fleetApplyMax)
			}
			calls := made(hosts) - started
			t.Logf("%s: %d calls, bound %d; change after %d ms, oldest confirmation %d ms", name, calls, bound,
				slices.Max(arrivedMillis), oldestMillis)
			is.True(calls <= bound)
			is.True(oldestMillis < fleetApplyMax)
		})
	}
}

// TestCallsWhileStoreRefusesAll guards against calls of all hosts that find out the same: while the
// store refuses everybody, only readers go on trying it every 300 ms, and the others do so at the
// pauses that double to a second. When it serves again, all hosts have a change in time.
func TestCallsWhileStoreRefusesAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const outageMillis = 5000
	store := &keyedlog.Log{}
	store.Put(platform.ConfigurationTopic, "evacuate/old", []byte("{}"))
	hosts := startFleet(t, store)
	awaitEvacuation(t, hosts, "old")
	for _, h := range hosts {
		h.fault.Store(storeRefuses)
	}
	before, others := made(hosts), made(hosts[fleetReaders:])
	boottime.Pause(t.Context(), outageMillis)
	t.Logf("%d calls, %d by other hosts than readers", made(hosts)-before, made(hosts[fleetReaders:])-others)
	const pauses, doubled = outageMillis / maxAvoidMillis, 2 // and two shorter ones before
	is.True(made(hosts[fleetReaders:])-others <= (fleetHosts-fleetReaders)*fleetTopics*(pauses+doubled))
	for _, h := range hosts {
		h.fault.Store(0)
	}
	began := boottime.Now()
	store.Put(platform.ConfigurationTopic, "evacuate/new", []byte("{}"))
	awaitEvacuation(t, hosts, "new")
	t.Logf("change after %d ms", boottime.Now().MillisSince(began))
	is.True(boottime.Now().MillisSince(began) < fleetApplyMax)
}

// TestFleetOutlivesRestores guards against readers that end when the store comes back from an older,
// shorter copy: the first one that has read it holds smaller offsets than those that ask it. Each time
// all hosts have what was written since in time.
func TestFleetOutlivesRestores(t *testing.T) {
	const restores, lostRecords = 3, 12
	is := is.New(t)
	store := &keyedlog.Log{}
	store.Put(platform.ConfigurationTopic, "evacuate/0", []byte("{}"))
	hosts := startFleet(t, store)
	awaitEvacuation(t, hosts, "0")
	for n := range restores {
		older := store.Copy()
		zone := fmt.Sprint(n + 1)
		for range lostRecords {
			store.Put(platform.ConfigurationTopic, "evacuate/"+zone, []byte("{}"))
			store.Put(platform.ServersTopic, "s", []byte("{}"))
			store.Put(platform.CrashesTopic, "c", nil)
		}
		awaitEvacuation(t, hosts, zone)
		boottime.Pause(t.Context(), serversPauseMillis) // all hosts have read the other topics, too
		store.Restore(older)
		began := boottime.Now()
		store.Put(platform.ConfigurationTopic, "evacuate/again-"+zone, []byte("{}"))
		awaitEvacuation(t, hosts, "again-"+zone)
		is.True(boottime.Now().MillisSince(began) < fleetApplyMax)
	}
}

// TestFleetFollowsPastOddEntries guards against hosts that stop following the list of backend servers
// at the readers, as a record that another writer left in it can't be passed on. Hosts that start later
// find the record among the newest ones.
func TestFleetFollowsPastOddEntries(t *testing.T) {
	is := is.New(t)
	store := &keyedlog.Log{}
	store.Put(platform.ConfigurationTopic, "evacuate/old", []byte("{}"))
	hosts := startFleet(t, store)
	awaitEvacuation(t, hosts, "old")
	boottime.Pause(t.Context(), 1000)
	others := made(hosts[fleetReaders:])
	deep := strings.Repeat("[", 100_000)
	for n, odd := range []struct{ key, value string }{
		{"od\xff", "{}"},
		{"", "{}"},
		{"odd\r\n", deep},
		{"odd", deep},
		{"odd", `{"service":"plain","address":"127.0.0.1:70000","zone":"a","state":"ready"}`},
		{"odd", `{"service":"plain","address":"127.0.0.1:7000","zone":"a","state":"ready","slots":1e400}`},
		{"od\xfe", `{"service":"plain","address":"127.0.0.1:7000","zone":"a","state":"ready"}`},
	} {
		store.Put(platform.ServersTopic, odd.key, []byte(odd.value))
		store.Put(platform.ConfigurationTopic, odd.key, []byte(odd.value))
		id, began := fmt.Sprint("s", n), boottime.Now()
		store.Put(platform.ServersTopic, id, []byte(`{"service":"plain","address":"127.0.0.1:7001","zone":"a","state":"ready","seq":1,"born":1}`))
		for _, h := range hosts {
			for _, listed := h.watcher.Servers().List.Find(id); !listed; _, listed = h.watcher.Servers().List.Find(id) {
				is.True(boottime.Now().MillisSince(began) < fleetApplyMax)
				boottime.Pause(t.Context(), 1)
			}
			is.Equal(len(h.watcher.Servers().List.All()), n+1) // none of the odd ones
		}
	}
	is.Equal(made(hosts[fleetReaders:]), others) // all read on at the readers
}

// TestConfirmedAt guards against data of another host that is taken for newer than it is.
func TestConfirmedAt(t *testing.T) {
	const startedAt = boottime.Instant(1_000_000_000_000)
	for name, tt := range map[string]struct{ age, waited, took, want int64 }{
		"earlier version, no wait told":  {400, 0, 300, -400},
		"waited":                         {400, 290, 300, -110},
		"waited longer than the request": {400, 9000, 300, -100},
		"negative values":                {-400, -9000, 300, 0},
	} {
		t.Run(name, func(t *testing.T) {
			reply := &digest.ReadReply{AgeMillis: tt.age, WaitedMillis: tt.waited}
			is.New(t).Equal(confirmedAt(reply, startedAt, startedAt.AddMillis(tt.took)), startedAt.AddMillis(tt.want))
		})
	}
}
