package storecache

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// records returns records of the given keys, with their keys as values.
func records(next int64, keys ...string) platform.Records {
	list := platform.Records{Next: next}
	for _, key := range keys {
		list.List = append(list.List, platform.Record{Key: key, Value: []byte(key)})
	}
	return list
}

func read(t *testing.T, m *Cache, from int64, waitMillis uint32) *digest.ReadReply {
	t.Helper()
	reply, err := m.Read(context.Background(), &digest.ReadRequest{Topic: "t", From: from, WaitMillis: waitMillis})
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
	m := &Cache{}
	is.True(!read(t, m, -1, 0).GetKnown()) // nothing was read yet

	m.Update(TopicRead{Topic: "t", Records: records(10, "a", "b"), Whole: true, ConfirmedAt: boottime.Now().AddMillis(-500)})
	first := read(t, m, -1, 0)
	is.True(first.GetKnown() && first.GetWhole())
	is.Equal(len(first.GetRecords()), 2)
	is.Equal(first.GetNext(), int64(10))
	is.True(first.GetAgeMillis() >= 500) // the age is told

	deleted := records(12, "c")
	deleted.List = append(deleted.List, platform.Record{Key: "a"})
	m.Update(TopicRead{Topic: "t", Records: deleted, ConfirmedAt: boottime.Now()})
	is.Equal(keys(read(t, m, 10, 0)), []string{"c", "a"}) // what is missing, in order
	is.Equal(keys(read(t, m, 11, 0)), []string{"a"})
	is.Equal(len(read(t, m, -1, 0).GetRecords()), 2) // a deleted key is not among the newest
	is.Equal(keys(read(t, m, 12, 0)), []string{})
	is.True(!read(t, m, 13, 0).GetKnown()) // the asker is ahead
	is.True(read(t, m, 9, 0).GetWhole())   // changes before the first read are not held
	is.True(!read(t, m, 12, 0).GetWhole()) // nothing is missing
	is.Equal(read(t, m, 12, 0).GetNext(), int64(12))
}

func TestReadKeepsABoundedHistory(t *testing.T) {
	is := is.New(t)
	m := &Cache{}
	m.Update(TopicRead{Topic: "t", Records: records(0), Whole: true, ConfirmedAt: boottime.Now()})
	for n := range int64(recentRecords + 10) {
		m.Update(TopicRead{Topic: "t", Records: records(n+1, fmt.Sprint(n%7)), ConfirmedAt: boottime.Now()})
	}
	is.True(read(t, m, 5, 0).GetWhole())
	is.Equal(len(read(t, m, 5, 0).GetRecords()), 7)
	is.Equal(len(read(t, m, 20, 0).GetRecords()), recentRecords-10)
}

// A read that waits returns as soon as there is a change.
func TestReadWaits(t *testing.T) {
	is := is.New(t)
	m := &Cache{}
	m.Update(TopicRead{Topic: "t", Records: records(1, "a"), Whole: true, ConfirmedAt: boottime.Now()})
	var group errgroup.Group
	var reply *digest.ReadReply
	started := time.Now()
	group.Go(func() error {
		reply = read(t, m, 1, maxWaitMillis)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	m.Update(TopicRead{Topic: "t", Records: records(2, "b"), ConfirmedAt: boottime.Now()})
	_ = group.Wait()
	is.Equal(keys(reply), []string{"b"})
	is.True(time.Since(started) < time.Second)
}

// A host that has just read the store waits for one that reads it for all to
// catch up, but not for one that has lost the store.
func TestReadOfAnAskerThatIsAhead(t *testing.T) {
	is := is.New(t)
	m := &Cache{}
	m.Update(TopicRead{Topic: "t", Records: records(5, "a"), Whole: true, ConfirmedAt: boottime.Now()})
	var group errgroup.Group
	var reply *digest.ReadReply
	group.Go(func() error {
		reply = read(t, m, 7, maxWaitMillis)
		return nil
	})
	time.Sleep(50 * time.Millisecond)
	m.Update(TopicRead{Topic: "t", Records: records(6, "b"), ConfirmedAt: boottime.Now()}) // not yet
	m.Update(TopicRead{Topic: "t", Records: records(8, "c", "d"), ConfirmedAt: boottime.Now()})
	_ = group.Wait()
	is.True(reply.GetKnown())
	is.Equal(keys(reply), []string{"d"})

	stale := &Cache{}
	stale.Update(TopicRead{Topic: "t", Records: records(5, "a"), Whole: true, ConfirmedAt: boottime.Now().AddMillis(-2 * freshMillis)})
	started := time.Now()
	is.True(!read(t, stale, 7, maxWaitMillis).GetKnown())
	is.True(time.Since(started) < time.Second)
}
