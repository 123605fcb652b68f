package leaseholder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// withCluster runs a test over hosts without random faults, in virtual time.
func withCluster(t *testing.T, hosts int, change func(*Holder), test func(t *testing.T, is *is.I, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t.Context(), 0, hosts, 0, change)
		test(t, is.New(t), w)
		w.stop()
	})
}

func TestSameKeyAtTwoHosts(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, is *is.I, w *cluster) {
		key := testKey(time.Now(), 1)
		var replies [2]*message.ClaimReply
		var group errgroup.Group
		for i := range replies {
			group.Go(func() (err error) {
				replies[i], err = w.host(i).Claim(t.Context(), request(key, fmt.Sprint(i)))
				return err
			})
		}
		is.NoErr(group.Wait())
		is.Equal(codeOf(replies[0]), CodeBound)
		is.Equal(replies[0].GetPermit().GetRequestId(), replies[1].GetPermit().GetRequestId())
	})
}

func TestTakeoverAfterHolderDied(t *testing.T) {
	withCluster(t, 3, nil, func(t *testing.T, is *is.I, w *cluster) {
		key := testKey(time.Now(), 1)
		first := mustClaim(t, w.host(0), request(key, "first"))
		home := rendezvous(first.GetPermit().GetPartition(), w.hostList())[0]
		for i, h := range w.hostList() {
			if h == home {
				w.kill(i)
			}
		}
		for i := range w.hostList() {
			if h := w.host(i); h != nil {
				again := mustClaim(t, h, request(key, "again"))
				is.Equal(again.GetPermit().GetRequestId(), "first")
				is.Equal(again.GetPermit().GetOffset(), first.GetPermit().GetOffset())
			}
		}
	})
}

func TestRebind(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, is *is.I, w *cluster) {
		key := testKey(time.Now(), 1)
		old := mustClaim(t, w.host(0), request(key, "old")).GetPermit()
		r := request(key, "new")
		r.Refused = old
		next := mustClaim(t, w.host(1), r).GetPermit()
		is.Equal(next.GetRequestId(), "new")
		r = request(key, "late")
		r.Refused = old // names a binding that is no longer in force
		is.Equal(mustClaim(t, w.host(0), r).GetPermit().GetRequestId(), "new")
	})
}

func TestLogOutage(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, w *cluster) {
		h := w.host(0)
		known, fresh := testKey(time.Now(), 1), testKey(time.Now(), 2)
		for n := 3; claim.PartitionOf(fresh, 2) != claim.PartitionOf(known, 2); n++ {
			fresh = testKey(time.Now(), n)
		}
		mustClaim(t, h, request(known, "known"))
		w.store.Faults.Down.Store(true)
		mustClaim(t, h, request(fresh, "fresh"))
		tried := w.total()
		for range 3 {
			begin := time.Now()
			reply := mustClaim(t, h, request(fresh, "fresh"))
			is.Equal(codeOf(reply), CodeLogUnavailable)
			is.True(reply.GetRetryAtUnixNanos() > begin.UnixNano())
			is.True(reply.GetPermit() == nil)
			is.Equal(time.Since(begin), time.Duration(0)) // virtual time
		}
		is.Equal(w.total(), tried) // the log is left alone for a while
		is.Equal(mustClaim(t, h, request(known, "again")).GetPermit().GetRequestId(), "known")
		w.store.Faults.Down.Store(false)
		time.Sleep(10 * time.Second)
		is.Equal(mustClaim(t, h, request(fresh, "fresh")).GetPermit().GetRequestId(), "fresh")
	})
}

func TestSlowLogRefusesEarly(t *testing.T) {
	withCluster(t, 1, func(h *Holder) { h.Partitions = 1 }, func(t *testing.T, is *is.I, w *cluster) {
		w.store.Faults.SlowMillis.Store(60_000)
		var group errgroup.Group
		group.Go(func() error {
			_, err := w.host(0).Claim(t.Context(), request(testKey(time.Now(), 1), "a"))
			return err
		})
		time.Sleep(slowAfterMillis*time.Millisecond + time.Millisecond)
		begin := time.Now()
		for n := range 8 {
			reply := mustClaim(t, w.host(0), request(testKey(time.Now(), n), "b"))
			is.Equal(codeOf(reply), CodeLogUnavailable)
		}
		is.Equal(time.Since(begin), time.Duration(0)) // virtual time
		is.NoErr(group.Wait())
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, w *cluster) {
		mustClaim(t, w.host(0), request(testKey(time.Now(), 1), "a"))
		w.store.Faults.LoseAnswers.Store(1)
		p := mustClaim(t, w.host(0), request(testKey(time.Now(), 2), "b")).GetPermit()
		is.Equal(p.GetRequestId(), "b")
		page, err := w.store.Read(t.Context(), claim.StreamOf(p.GetPartition()), p.GetOffset(), 10)
		is.NoErr(err)
		is.Equal(len(page.Records), 1) // not appended again
	})
}

func TestKeyPastItsWindow(t *testing.T) {
	window := func(h *Holder) { h.KeyWindowSeconds = 3600 }
	withCluster(t, 1, window, func(t *testing.T, is *is.I, w *cluster) {
		w.store.RetainSeconds = 2 * 3600
		key := testKey(time.Now(), 1)
		mustClaim(t, w.host(0), request(key, "a"))
		time.Sleep(3 * time.Hour) // the log has forgotten the claim
		is.Equal(codeOf(mustClaim(t, w.host(0), request(key, "b"))), CodeKeyExpired)
		is.Equal(codeOf(mustClaim(t, w.host(0), request("no key", "b"))), CodeKeyMalformed)
		ahead := testKey(time.Now().Add(2*time.Minute), 1)
		is.Equal(codeOf(mustClaim(t, w.host(0), request(ahead, "b"))), CodeKeyFuture)
		fresh := testKey(time.Now(), 1)
		is.Equal(mustClaim(t, w.host(0), request(fresh, "c")).GetPermit().GetRequestId(), "c")
	})
}

// TestLateReader starts a host whose reading begins in the middle of a stream.
func TestLateReader(t *testing.T) {
	change := func(h *Holder) { h.KeyWindowSeconds, h.Partitions = 600, 1 }
	withCluster(t, 1, change, func(t *testing.T, is *is.I, w *cluster) {
		var keys []string
		for n := range 100 {
			keys = append(keys, testKey(time.Now(), n))
			mustClaim(t, w.host(0), request(keys[n], "first"))
			time.Sleep(time.Minute)
		}
		w.kill(0)
		w.start(0)
		for n := 91; n < 100; n++ {
			is.Equal(mustClaim(t, w.host(0), request(keys[n], "again")).GetPermit().GetRequestId(), "first")
		}
		s := w.host(0).Status()[0]
		is.True(s.Bindings < 30)
		is.True(s.Counts.Reads < 30)
	})
}

func TestIdlePartitionIsReleased(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, w *cluster) {
		first, second := testKey(time.Now(), 1), testKey(time.Now().Add(2*time.Hour), 2)
		mustClaim(t, w.host(0), request(first, "a"))
		is.Equal(len(w.host(0).Status()), 1)
		time.Sleep(2 * time.Hour)
		is.Equal(len(w.host(0).Status()), 0)
		is.Equal(codeOf(mustClaim(t, w.host(0), request(second, "b"))), CodeBound)
	})
}

func TestPartitionCountMismatchIsRefused(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, w *cluster) {
		key := testKey(time.Now(), 1)
		r := request(key, "a")
		r.Partition = claim.PartitionOf(key, 2) + 1
		reply, err := w.host(0).HandleClaim(t.Context(), r)
		is.NoErr(err)
		is.Equal(codeOf(reply), CodePartitionMismatch)
	})
}

func TestLostPartitionIsNotTakenBackAtOnce(t *testing.T) {
	withCluster(t, 2, func(h *Holder) { h.Partitions = 1 }, func(t *testing.T, is *is.I, w *cluster) {
		at := func(host, n int) *message.ClaimReply {
			reply, err := w.host(host).HandleClaim(t.Context(), request(testKey(time.Now(), n), "a"))
			is.NoErr(err)
			return reply
		}
		is.Equal(codeOf(at(0, 1)), CodeBound)
		time.Sleep(time.Minute)
		is.Equal(codeOf(at(1, 2)), CodeBound) // takes the partition
		lost := at(0, 3)
		is.Equal(codeOf(lost), CodeNotHolder)
		is.Equal(lost.GetHolder(), "host-1")
		is.Equal(codeOf(at(0, 4)), CodeNotHolder)
		time.Sleep(time.Minute)
		is.Equal(codeOf(at(0, 5)), CodeBound)
	})
}

func TestRendezvousMovesOnlyLostHostsPartitions(t *testing.T) {
	is := is.New(t)
	var hosts []Host
	for i := range 8 {
		hosts = append(hosts, Host{Name: fmt.Sprint("h", i)})
	}
	for partition := range uint32(claim.DefaultPartitions) {
		before := rendezvous(partition, hosts)[0]
		after := rendezvous(partition, hosts[1:])[0]
		is.True(before == after || before == hosts[0])
	}
}
