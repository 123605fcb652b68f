// Package storecache keeps what an entry host has read of the store's topics, so
// that other entry hosts can read them there.
package storecache

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// recentRecords bounds the changes that are kept of a topic. An asker that
	// lacks older ones gets the newest record of each key.
	recentRecords = 256
	// freshMillis is the age up to which a host that knows less than its asker
	// probably reaches the store and will soon catch up.
	freshMillis = 1300
	// maxWaitMillis bounds the wait of one read.
	maxWaitMillis = 2000
)

// Cache holds topics. Its zero value is ready; it is safe for concurrent use.
type Cache struct {
	digest.DRPCDigestUnimplementedServer

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is what is known of one topic.
type topic struct {
	// newest holds the value of each key that is not deleted.
	newest map[string][]byte
	// recent holds the last changes; next is the offset after the last one.
	recent      []platform.Record
	next        int64
	confirmedAt boottime.Instant
	// changed is closed and replaced when there are new records.
	changed chan struct{}
}

// TopicRead is what one read of the store returned.
type TopicRead struct {
	Topic   string
	Records platform.Records
	// Whole says that the records are the newest ones of all keys.
	Whole bool
	// ConfirmedAt is the moment up to which they are known to hold.
	ConfirmedAt boottime.Instant
}

// Update takes over a read of the store.
func (c *Cache) Update(r TopicRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(r.Topic)
	t.confirmedAt = max(t.confirmedAt, r.ConfirmedAt)
	if r.Whole {
		clear(t.newest)
		t.recent = nil
	}
	for _, record := range r.Records.List {
		t.add(record)
	}
	if !r.Whole {
		t.recent = append(t.recent, r.Records.List...)
		t.recent = t.recent[max(0, len(t.recent)-recentRecords):]
	}
	if t.next != r.Records.Next {
		t.next = r.Records.Next
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func (c *Cache) topic(name string) *topic {
	if c.topics == nil {
		c.topics = make(map[string]*topic)
	}
	t, ok := c.topics[name]
	if !ok {
		t = &topic{newest: make(map[string][]byte), changed: make(chan struct{})}
		c.topics[name] = t
	}
	return t
}

func (t *topic) add(record platform.Record) {
	if len(record.Value) == 0 {
		delete(t.newest, record.Key)
		return
	}
	t.newest[record.Key] = record.Value
}

// Read serves another entry host. One that has read the store itself may be
// ahead; while this host's knowledge is fresh, it will soon catch up.
func (c *Cache) Read(ctx context.Context, request *digest.ReadRequest) (*digest.ReadReply, error) {
	waitMillis := min(request.GetWaitMillis(), maxWaitMillis)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		reply, changed, behind := c.reply(request)
		if len(reply.GetRecords()) > 0 || (!reply.GetKnown() && !behind) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _, _ = c.reply(request)
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reply returns what the asker lacks, a channel that is closed when there is more,
// and whether this host is fresh and has less than the asker.
func (c *Cache) reply(request *digest.ReadRequest) (reply *digest.ReadReply, changed <-chan struct{}, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(request.GetTopic())
	ageMillis := boottime.Now().MillisSince(t.confirmedAt)
	if t.confirmedAt == 0 || request.GetFrom() > t.next {
		return &digest.ReadReply{}, t.changed, t.confirmedAt != 0 && ageMillis <= freshMillis
	}
	reply = &digest.ReadReply{
		Known:     true,
		Next:      t.next,
		AgeMillis: ageMillis,
	}
	records, ok := t.since(request.GetFrom())
	if !ok {
		reply.Whole = true
		records = t.all()
	}
	for _, record := range records {
		reply.Records = append(reply.Records, &digest.Record{Key: record.Key, Value: record.Value})
	}
	return reply, t.changed, false
}

// since returns the changes from an offset on, or false when they are not all
// held.
func (t *topic) since(from int64) ([]platform.Record, bool) {
	missing := t.next - from
	if from < 0 || missing > int64(len(t.recent)) {
		return nil, false
	}
	return t.recent[len(t.recent)-int(missing):], true
}

func (t *topic) all() []platform.Record {
	all := make([]platform.Record, 0, len(t.newest))
	for key, value := range t.newest {
		all = append(all, platform.Record{Key: key, Value: value})
	}
	return all
}
