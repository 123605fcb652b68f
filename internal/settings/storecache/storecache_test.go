package storecache

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// records returns one record for each of the given keys, with the key as its value.
func records(next int64, keys ...string) platform.Records {
	list := platform.Records{Next: next}
	for _, key := range keys {
		list.List = append(list.List, platform.Record{Key: key, Value: []byte(key)})
	}
	return list
}

func read(t *testing.T, cache *Cache, from int64, waitMillis uint32) *digest.ReadReply {
	t.Helper()
	reply, err := cache.Read(context.Background(), &digest.ReadRequest{Topic: "t", From: from, WaitMillis: waitMillis})
	is.New(t).NoErr(err)
	return reply
}

func keys(reply *digest.ReadReply) []string {
	all := []string{}
	for _, r := range reply.GetRecords() {
		all = append(all, r.GetKey())
	}
	return all
}

func TestRead(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	is.True(!read(t, cache, -1, 0).GetKnown()) // the topic was never read

	cache.Update(TopicRead{Topic: "t", Records: records(10, "a", "b"), Complete: true, ConfirmedAt: boottime.Now().AddMillis(-500)})
	first := read(t, cache, -1, 0)
	is.True(first.GetKnown() && first.GetWhole())
	is.Equal(len(first.GetRecords()), 2)
	is.Equal(first.GetNext(), int64(10))
	is.True(first.GetAgeMillis() >= 500) // the reply reports the age of the data

	deleted := records(12, "c")
	deleted.List = append(deleted.List, platform.Record{Key: "a"})
	cache.Update(TopicRead{Topic: "t", Records: deleted, ConfirmedAt: boottime.Now()})
	is.Equal(keys(read(t, cache, 10, 0)), []string{"c", "a"}) // the missing changes, in order
	is.Equal(keys(read(t, cache, 11, 0)), []string{"a"})
	is.Equal(len(read(t, cache, -1, 0).GetRecords()), 2) // a deleted key is not among the newest
	is.Equal(keys(read(t, cache, 12, 0)), []string{})
	is.True(!read(t, cache, 13, 0).GetKnown()) // the client is ahead of the cache
	is.True(read(t, cache, 9, 0).GetWhole())   // changes before the first read are not cached
	is.True(!read(t, cache, 12, 0).GetWhole()) // the client is up to date
	is.Equal(read(t, cache, 12, 0).GetNext(), int64(12))
}

// TestReadsBeforeTheFirstReadOfTheStore replays the start of many hosts at once: they wait for
// the first read of this host instead of reading the store themselves.
func TestReadsBeforeTheFirstReadOfTheStore(t *testing.T) {
	for _, first := range []platform.Records{records(10, "a"), {}} {
		is := is.New(t)
		const hosts = 20
		cache := &Cache{}
		var group errgroup.Group
		replies := make([]*digest.ReadReply, hosts)
		for n := range hosts {
			group.Go(func() error {
				replies[n] = read(t, cache, -1, maxWaitMillis)
				return nil
			})
		}
		began := time.Now()
		time.Sleep(20 * time.Millisecond)
		cache.Update(TopicRead{Topic: "t", Records: first, Complete: true, ConfirmedAt: boottime.Now()})
		is.NoErr(group.Wait())
		for _, reply := range replies {
			is.True(reply.GetKnown())
			is.Equal(len(reply.GetRecords()), len(first.List))
		}
		is.True(len(first.List) == 0 || time.Since(began) < maxWaitMillis*time.Millisecond/2)
	}
}

func TestReadKeepsBoundedHistory(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	cache.Update(TopicRead{Topic: "t", Records: records(0), Complete: true, ConfirmedAt: boottime.Now()})
	for n := range int64(recentRecords + 10) {
		cache.Update(TopicRead{Topic: "t", Records: records(n+1, fmt.Sprint(n%7)), ConfirmedAt: boottime.Now()})
	}
	is.True(read(t, cache, 5, 0).GetWhole())
	is.Equal(len(read(t, cache, 5, 0).GetRecords()), 7)
	is.Equal(len(read(t, cache, 20, 0).GetRecords()), recentRecords-10)
}

// TestReadWaits checks that a waiting read returns as soon as the topic changes.
func TestReadWaits(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	cache.Update(TopicRead{Topic: "t", Records: records(1, "a"), Complete: true, ConfirmedAt: boottime.Now()})
	var group errgroup.Group
	var reply *digest.ReadReply
	started := time.Now()
	group.Go(func() error {
		reply = read(t, cache, 1, maxWaitMillis)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	cache.Update(TopicRead{Topic: "t", Records: records(2, "b"), ConfirmedAt: boottime.Now()})
	_ = group.Wait()
	is.Equal(keys(reply), []string{"b"})
	is.True(time.Since(started) < time.Second)
}

// TestReadOfClientAheadOfCache checks a client that has read the store itself, and is
// therefore ahead of the cache. It waits until a fresh cache has caught up, but gets
// an immediate answer from a stale cache, whose host has probably lost the store.
func TestReadOfClientAheadOfCache(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	cache.Update(TopicRead{Topic: "t", Records: records(5, "a"), Complete: true, ConfirmedAt: boottime.Now()})
	var group errgroup.Group
	var reply *digest.ReadReply
	group.Go(func() error {
		reply = read(t, cache, 7, maxWaitMillis)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	cache.Update(TopicRead{Topic: "t", Records: records(6, "b"), ConfirmedAt: boottime.Now()}) // still behind the client
	cache.Update(TopicRead{Topic: "t", Records: records(8, "c", "d"), ConfirmedAt: boottime.Now()})
	_ = group.Wait()
	is.True(reply.GetKnown())
	is.Equal(keys(reply), []string{"d"})

	stale := &Cache{}
	stale.Update(TopicRead{Topic: "t", Records: records(5, "a"), Complete: true, ConfirmedAt: boottime.Now().AddMillis(-2 * lostMillis)})
	started := time.Now()
	is.True(!read(t, stale, 7, maxWaitMillis).GetKnown())
	is.True(time.Since(started) < time.Second)
}

// TestReadAfterRestore checks that offsets of another era of the store are not taken for
// those of this one: a client of an earlier era gets the newest record of each key, and one
// of a later era is told that this host is behind.
func TestReadAfterRestore(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	inEra := func(era, from int64) *digest.ReadReply {
		reply, err := cache.Read(context.Background(), &digest.ReadRequest{Topic: "t", From: from, Era: era})
		is.NoErr(err)
		return reply
	}
	update := func(era, next int64, complete bool, all ...string) {
		r := records(next, all...)
		r.Era = era
		cache.Update(TopicRead{Topic: "t", Records: r, Complete: complete, ConfirmedAt: boottime.Now()})
	}
	update(1, 10, true, "a")
	is.True(!inEra(2, 5).GetKnown())
	update(2, 8, true, "b")
	update(2, 10, false, "c", "d")
	restored := inEra(1, 10)
	is.True(restored.GetWhole())
	is.Equal(restored.GetEra(), int64(2))
	is.Equal(len(restored.GetRecords()), 3)
	is.Equal(keys(inEra(2, 9)), []string{"d"})
}

// TestManyHostsAskForALongList replays the start of all hosts of a large deployment: the
// replies that one host sends at once are bounded, and the others learn at once that they must
// read the store.
func TestManyHostsAskForALongList(t *testing.T) {
	is := is.New(t)
	const hosts, entries, entryBytes, boundBytes = 150, 3000, 300, 8 << 20
	cache := &Cache{}
	list := platform.Records{Next: 1}
	for n := range entries {
		list.List = append(list.List, platform.Record{Key: fmt.Sprint("server-", n), Value: make([]byte, entryBytes)})
	}
	cache.Update(TopicRead{Topic: "t", Records: list, Complete: true, ConfirmedAt: boottime.Now()})
	served, bytes := 0, 0
	for range hosts {
		reply := read(t, cache, -1, maxWaitMillis)
		if reply.GetKnown() {
			served++
			is.Equal(len(reply.GetRecords()), entries)
		}
		for _, r := range reply.GetRecords() {
			bytes += len(r.GetValue())
		}
	}
	is.True(served >= 1)
	is.True(bytes <= boundBytes)
	is.True(read(t, cache, 1, 0).GetKnown()) // a host that lacks no more than changes is served
}

// TestHostThatLostTheStore checks that old data of a topic is only given out while the host
// still reads another topic.
func TestHostThatLostTheStore(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	cache.Update(TopicRead{Topic: "t", Records: records(10, "a"), Complete: true, ConfirmedAt: boottime.Now().AddMillis(-2 * lostMillis)})
	is.True(!read(t, cache, -1, 0).GetKnown())
	cache.Update(TopicRead{Topic: "other", Records: records(3, "b"), Complete: true, ConfirmedAt: boottime.Now()})
	is.True(read(t, cache, -1, 0).GetKnown())
}

// TestAnyPosition guards against the end of a process that is asked from a position that its log does
// not have: a host of an earlier era of the store may hold a larger offset than there is in this one.
func TestAnyPosition(t *testing.T) {
	for _, next := range []int64{0, 3, 2 * recentRecords} {
		cache := &Cache{}
		for offset := int64(0); offset <= next; offset++ {
			r := records(offset, fmt.Sprint(offset%3))
			r.Era = 2
			cache.Update(TopicRead{Topic: "t", Records: r, Complete: offset == 0, ConfirmedAt: boottime.Now()})
		}
		for _, era := range []int64{math.MinInt64, 0, 1, 2, 3, math.MaxInt64} {
			for _, from := range []int64{math.MinInt64, -1, 0, next - 1, next, next + 1, next + 12, math.MaxInt64} {
				is := is.New(t)
				reply, err := cache.Read(t.Context(), &digest.ReadRequest{Topic: "t", Era: era, From: from})
				is.NoErr(err)
				ahead := era > 2 || (era == 2 && from > next)
				is.Equal(reply.GetKnown(), !ahead)
				changes := era == 2 && from >= 0 && next-from <= min(next, recentRecords)
				is.Equal(reply.GetWhole(), !ahead && !changes)
			}
		}
	}
}

// TestReadUntilConfirmed guards the age of what readers pass on: a client that asks for it is
// answered at the next confirmation without a change, and learns whether the data was relayed.
func TestReadUntilConfirmed(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	update := func(relayed bool) {
		cache.Update(TopicRead{Topic: "t", Records: records(1), ConfirmedAt: boottime.Now(), Relayed: relayed})
	}
	update(false)
	for _, relayed := range []bool{true, false} {
		var reply *digest.ReadReply
		var group errgroup.Group
		began := time.Now()
		group.Go(func() (err error) {
			reply, err = cache.Read(t.Context(), &digest.ReadRequest{Topic: "t", From: 1, WaitMillis: maxWaitMillis, UntilConfirmed: true})
			return err
		})
		time.Sleep(50 * time.Millisecond)
		update(relayed)
		is.NoErr(group.Wait())
		is.True(time.Since(began) < maxWaitMillis/2*time.Millisecond)
		is.Equal(reply.GetRelayed(), relayed)
		is.True(reply.GetWaitedMillis() >= 20 && reply.GetAgeMillis() < reply.GetWaitedMillis())
	}
}
