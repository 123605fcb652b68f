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

// withCluster runs a test with a cluster without random faults, in virtual time.
func withCluster(t *testing.T, hosts int, change func(*Holder), test func(t *testing.T, is *is.I, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t.Context(), 0, hosts, 0, change)
		test(t, is.New(t), cl)
		cl.stop()
	})
}

// TestSameKeyAtTwoHosts checks that concurrent claims of one key at two hosts get
// the same binding.
func TestSameKeyAtTwoHosts(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, is *is.I, cl *cluster) {
		key := testKey(time.Now(), 1)
		var replies [2]*message.ClaimReply
		var group errgroup.Group
		for i := range replies {
			group.Go(func() (err error) {
				replies[i], err = cl.host(i).Claim(t.Context(), request(key, fmt.Sprint(i)))
				return err
			})
		}
		is.NoErr(group.Wait())
		is.Equal(codeOf(replies[0]), CodeBound)
		is.Equal(replies[0].GetPermit().GetRequestId(), replies[1].GetPermit().GetRequestId())
	})
}

// TestTakeoverAfterHolderDied checks that a binding outlives the holder that made
// it.
func TestTakeoverAfterHolderDied(t *testing.T) {
	withCluster(t, 3, nil, func(t *testing.T, is *is.I, cl *cluster) {
		key := testKey(time.Now(), 1)
		first := mustClaim(t, cl.host(0), request(key, "first"))
		holder := rendezvous(first.GetPermit().GetPartition(), cl.hostList())[0]
		for i, h := range cl.hostList() {
			if h == holder {
				cl.kill(i)
			}
		}
		for i := range cl.hostList() {
			if h := cl.host(i); h != nil {
				again := mustClaim(t, h, request(key, "again"))
				is.Equal(again.GetPermit().GetRequestId(), "first")
				is.Equal(again.GetPermit().GetOffset(), first.GetPermit().GetOffset())
			}
		}
	})
}

// TestRebind checks that a refused binding is replaced, but only if it is the one in
// force.
func TestRebind(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, is *is.I, cl *cluster) {
		key := testKey(time.Now(), 1)
		old := mustClaim(t, cl.host(0), request(key, "old")).GetPermit()
		r := request(key, "new")
		r.Refused = old
		next := mustClaim(t, cl.host(1), r).GetPermit()
		is.Equal(next.GetRequestId(), "new")
		r = request(key, "late")
		r.Refused = old // a binding that is no longer in force
		is.Equal(mustClaim(t, cl.host(0), r).GetPermit().GetRequestId(), "new")
	})
}

// TestLogOutage checks that during an outage of the log known bindings are still
// returned, and other claims are refused immediately without calls to the log.
func TestLogOutage(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, cl *cluster) {
		h := cl.host(0)
		known, fresh := testKey(time.Now(), 1), testKey(time.Now(), 2)
		for n := 3; claim.PartitionOf(fresh, 2) != claim.PartitionOf(known, 2); n++ {
			fresh = testKey(time.Now(), n)
		}
		mustClaim(t, h, request(known, "known"))
		cl.store.Faults.Down.Store(true)
		mustClaim(t, h, request(fresh, "fresh"))
		before := cl.total()
		for range 3 {
			begin := time.Now()
			reply := mustClaim(t, h, request(fresh, "fresh"))
			is.Equal(codeOf(reply), CodeLogUnavailable)
			is.True(reply.GetRetryAtUnixNanos() > begin.UnixNano())
			is.True(reply.GetPermit() == nil)
			is.Equal(time.Since(begin), time.Duration(0)) // virtual time
		}
		is.Equal(cl.total(), before) // no calls to the log during the backoff
		is.Equal(mustClaim(t, h, request(known, "again")).GetPermit().GetRequestId(), "known")
		cl.store.Faults.Down.Store(false)
		time.Sleep(10 * time.Second)
		is.Equal(mustClaim(t, h, request(fresh, "fresh")).GetPermit().GetRequestId(), "fresh")
	})
}

// TestSlowLogRefusesEarly checks that claims are refused immediately while a batch
// takes longer than slowAfterMillis.
func TestSlowLogRefusesEarly(t *testing.T) {
	withCluster(t, 1, func(h *Holder) { h.Partitions = 1 }, func(t *testing.T, is *is.I, cl *cluster) {
		cl.store.Faults.SlowMillis.Store(60_000)
		var group errgroup.Group
		group.Go(func() error {
			_, err := cl.host(0).Claim(t.Context(), request(testKey(time.Now(), 1), "a"))
			return err
		})
		time.Sleep(slowAfterMillis*time.Millisecond + time.Millisecond)
		begin := time.Now()
		for n := range 8 {
			reply := mustClaim(t, cl.host(0), request(testKey(time.Now(), n), "b"))
			is.Equal(codeOf(reply), CodeLogUnavailable)
		}
		is.Equal(time.Since(begin), time.Duration(0)) // virtual time
		is.NoErr(group.Wait())
	})
}

// TestLostAnswerIsReadBack checks that a batch whose append succeeded, but whose
// response was lost, is found in the stream and not appended again.
func TestLostAnswerIsReadBack(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, cl *cluster) {
		mustClaim(t, cl.host(0), request(testKey(time.Now(), 1), "a"))
		cl.store.Faults.LoseAnswers.Store(1)
		p := mustClaim(t, cl.host(0), request(testKey(time.Now(), 2), "b")).GetPermit()
		is.Equal(p.GetRequestId(), "b")
		page, err := cl.store.Read(t.Context(), claim.StreamOf(p.GetPartition()), p.GetOffset(), 10)
		is.NoErr(err)
		is.Equal(len(page.Records), 1) // the batch was not appended again
	})
}

// TestKeyPastItsWindow checks the refusals of keys that are expired, malformed or
// from the future.
func TestKeyPastItsWindow(t *testing.T) {
	window := func(h *Holder) { h.KeyWindowSeconds = 3600 }
	withCluster(t, 1, window, func(t *testing.T, is *is.I, cl *cluster) {
		cl.store.RetainSeconds = 2 * 3600
		key := testKey(time.Now(), 1)
		mustClaim(t, cl.host(0), request(key, "a"))
		time.Sleep(3 * time.Hour) // the log no longer retains the claim
		is.Equal(codeOf(mustClaim(t, cl.host(0), request(key, "b"))), CodeKeyExpired)
		is.Equal(codeOf(mustClaim(t, cl.host(0), request("no key", "b"))), CodeKeyMalformed)
		ahead := testKey(time.Now().Add(2*time.Minute), 1)
		is.Equal(codeOf(mustClaim(t, cl.host(0), request(ahead, "b"))), CodeKeyFuture)
		fresh := testKey(time.Now(), 1)
		is.Equal(mustClaim(t, cl.host(0), request(fresh, "c")).GetPermit().GetRequestId(), "c")
	})
}

// TestLateReader checks that a restarted host reads only the part of a long stream
// that matters to keys within the key window.
func TestLateReader(t *testing.T) {
	change := func(h *Holder) { h.KeyWindowSeconds, h.Partitions = 600, 1 }
	withCluster(t, 1, change, func(t *testing.T, is *is.I, cl *cluster) {
		var keys []string
		for n := range 100 {
			keys = append(keys, testKey(time.Now(), n))
			mustClaim(t, cl.host(0), request(keys[n], "first"))
			time.Sleep(time.Minute)
		}
		cl.kill(0)
		cl.start(0)
		for n := 91; n < 100; n++ {
			is.Equal(mustClaim(t, cl.host(0), request(keys[n], "again")).GetPermit().GetRequestId(), "first")
		}
		s := cl.host(0).Status()[0]
		is.True(s.Bindings < 30)
		is.True(s.Counts.Reads < 30)
	})
}

// TestIdlePartitionIsReleased checks that a partition without claims for a key
// window frees its state, and serves later claims again.
func TestIdlePartitionIsReleased(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, cl *cluster) {
		first, second := testKey(time.Now(), 1), testKey(time.Now().Add(2*time.Hour), 2)
		mustClaim(t, cl.host(0), request(first, "a"))
		is.Equal(len(cl.host(0).Status()), 1)
		time.Sleep(2 * time.Hour)
		is.Equal(len(cl.host(0).Status()), 0)
		is.Equal(codeOf(mustClaim(t, cl.host(0), request(second, "b"))), CodeBound)
	})
}

func TestPartitionCountMismatchIsRefused(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, is *is.I, cl *cluster) {
		key := testKey(time.Now(), 1)
		r := request(key, "a")
		r.Partition = claim.PartitionOf(key, 2) + 1
		reply, err := cl.host(0).HandleClaim(t.Context(), r)
		is.NoErr(err)
		is.Equal(codeOf(reply), CodePartitionMismatch)
	})
}

// TestLostPartitionIsNotTakenBackAtOnce checks that a host that has lost a lease
// refers claims to the new holder until its takeover backoff has passed.
func TestLostPartitionIsNotTakenBackAtOnce(t *testing.T) {
	withCluster(t, 2, func(h *Holder) { h.Partitions = 1 }, func(t *testing.T, is *is.I, cl *cluster) {
		at := func(host, n int) *message.ClaimReply {
			reply, err := cl.host(host).HandleClaim(t.Context(), request(testKey(time.Now(), n), "a"))
			is.NoErr(err)
			return reply
		}
		is.Equal(codeOf(at(0, 1)), CodeBound)
		time.Sleep(time.Minute)
		is.Equal(codeOf(at(1, 2)), CodeBound) // host 1 takes over the lease
		refusal := at(0, 3)
		is.Equal(codeOf(refusal), CodeNotHolder)
		is.Equal(refusal.GetHolder(), "host-1")
		is.Equal(codeOf(at(0, 4)), CodeNotHolder)
		time.Sleep(time.Minute)
		is.Equal(codeOf(at(0, 5)), CodeBound)
	})
}

// TestRendezvousMovesOnlyLostHostsPartitions checks that the preferred holder of a
// partition changes only if that host is removed.
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
