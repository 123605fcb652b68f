// Package storecache caches the topics of the platform's store that an entry host
// has read, and serves them to other entry hosts, its clients. A topic is a log of
// keyed records.
// Its cached state is confirmed up to the start of the latest read of the store, and
// its age counts from then.
package storecache

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// recentRecords is the maximum number of changes that are kept of a topic. A
	// client that lacks older changes receives the newest record of each key
	// instead.
	recentRecords = 256
	// freshMillis is the age of the cached data up to which this host is assumed
	// to reach the store. A client that is ahead of the cache then waits, because
	// the cache will soon catch up.
	freshMillis = 1300
	// lostMillis is the age of the newest data of all topics from which this host is assumed
	// to have lost the store. It exceeds maxWaitMillis, as the age grows while a read waits.
	lostMillis = 2600
	// maxWaitMillis is the maximum time that one read waits for a change.
	maxWaitMillis = 2000
	// wholeBytesPerSecond and wholeBurstBytes bound the replies with the newest record of
	// each key. When all hosts of a large deployment start at once, the replies would
	// otherwise exceed the memory and the link of a small host.
	wholeBytesPerSecond = 1 << 20
	wholeBurstBytes     = 4 << 20
)

// Cache holds the state of topics. The zero value is an empty cache. It is safe for
// concurrent use.
type Cache struct {
	digest.DRPCDigestUnimplementedServer

	// AppendRecords appends records to a topic of the store. It is set before use; without it,
	// Append refuses.
	AppendRecords func(ctx context.Context, topic string, records []platform.Record) error

	mu     sync.Mutex
	topics map[string]*topic
	// whole is nil before the first reply with the newest record of each key.
	whole *rate.Limiter
}

// topic is the cached state of one topic.
type topic struct {
	// newest holds the newest value of each key that is not deleted.
	newest map[string][]byte
	// recent holds the last changes; next is the offset after the last one.
	recent []platform.Record
	next   int64
	// era is the era of the store in which the offsets were given out.
	era int64
	// confirmedAt is the time up to which the state is confirmed. It is zero
	// before the first read.
	confirmedAt boottime.Instant
	// changed is closed and replaced when new records arrive.
	changed chan struct{}
	// confirmed is closed and replaced when confirmedAt advances.
	confirmed chan struct{}
	// notedAt is when confirmedAt advanced last.
	notedAt boottime.Instant
	// relayed is set while the state is confirmed by another entry host.
	relayed bool
}

// TopicRead is the result of one read of a topic from the store.
type TopicRead struct {
	// Topic is the name of the topic.
	Topic string
	// Records are the records that the store returned.
	Records platform.Records
	// Complete reports whether the records are the newest ones of all keys, instead
	// of the changes since the previous read.
	Complete bool
	// ConfirmedAt is the time up to which the records are confirmed.
	ConfirmedAt boottime.Instant
	// Relayed reports whether they were read at another entry host.
	Relayed bool
}

// Update adds the result of a read of the store, or of a read at another entry host, to the cache.
func (c *Cache) Update(r TopicRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(r.Topic)
	first := t.confirmedAt == 0
	if first || r.ConfirmedAt > t.confirmedAt {
		t.confirmedAt = r.ConfirmedAt
		t.notedAt = boottime.Now()
		t.relayed = r.Relayed
		close(t.confirmed)
		t.confirmed = make(chan struct{})
	}
	if r.Complete {
		clear(t.newest)
		t.recent = nil
	}
	for _, record := range r.Records.List {
		t.add(record)
	}
	if !r.Complete {
		t.recent = append(t.recent, r.Records.List...)
		t.recent = t.recent[max(0, len(t.recent)-recentRecords):]
	}
	if first || t.next != r.Records.Next || t.era != r.Records.Era {
		t.era = r.Records.Era
		t.next = r.Records.Next
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// topic returns the topic with the given name, and creates it if necessary.
func (c *Cache) topic(name string) *topic {
	if c.topics == nil {
		c.topics = make(map[string]*topic)
	}
	t, ok := c.topics[name]
	if !ok {
		t = &topic{newest: make(map[string][]byte), changed: make(chan struct{}), confirmed: make(chan struct{})}
		c.topics[name] = t
	}
	return t
}

// add stores the value of a record; an empty value deletes the key.
func (t *topic) add(record platform.Record) {
	if len(record.Value) == 0 {
		delete(t.newest, record.Key)
		return
	}
	t.newest[record.Key] = record.Value
}

// Read answers another entry host. It waits for the first record that the client
// lacks, at most for the time in the request. Before the first read of the store it waits
// for that one, as many hosts often start at once and would otherwise all read the store. A
// client that has read the store itself may be ahead of this cache; Read then waits only
// while the cached data is fresh, because it will soon catch up. A client may also ask to be
// answered once the data is confirmed anew.
func (c *Cache) Read(ctx context.Context, request *digest.ReadRequest) (*digest.ReadReply, error) {
	arrivedAt := boottime.Now()
	waitMillis := min(request.GetWaitMillis(), maxWaitMillis)
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		reply, next := c.reply(request, arrivedAt)
		if len(reply.GetRecords()) > 0 || (!reply.GetKnown() && !next.behind) || (reply.GetKnown() && next.isNew) {
			return reply, nil
		}
		select {
		case <-next.changed:
		case <-next.confirmed:
		case <-timer.C:
			reply, _ = c.reply(request, arrivedAt)
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// nextReply says what a read waits for.
type nextReply struct {
	// changed is closed at the next change of the topic, and confirmed when it is confirmed
	// anew; the latter is nil if the client does not wait for it.
	changed, confirmed <-chan struct{}
	// behind is set when the cache will soon have what the client lacks: its data is fresh and
	// older than the client's, or it has none yet.
	behind bool
	// isNew is set when the client waits for a confirmation, and there was one since its request.
	isNew bool
}

// reply returns the records that the client lacks, and what may be waited for instead.
func (c *Cache) reply(request *digest.ReadRequest, arrivedAt boottime.Instant) (*digest.ReadReply, nextReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topic(request.GetTopic())
	now := boottime.Now()
	ageMillis := now.MillisSince(t.confirmedAt)
	next := nextReply{changed: t.changed}
	if request.GetUntilConfirmed() {
		next.confirmed = t.confirmed
		next.isNew = t.notedAt > arrivedAt
	}
	if t.confirmedAt != 0 && !c.reachesStore(now) {
		return &digest.ReadReply{}, next
	}
	if t.confirmedAt == 0 || t.isBehind(request) {
		next.behind = t.confirmedAt == 0 || ageMillis <= freshMillis
		return &digest.ReadReply{}, next
	}
	reply := &digest.ReadReply{
		Known:        true,
		Next:         t.next,
		AgeMillis:    ageMillis,
		Era:          t.era,
		Relayed:      t.relayed,
		WaitedMillis: now.MillisSince(arrivedAt),
	}
	records, ok := t.since(request.GetEra(), request.GetFrom())
	if !ok {
		if !c.allowWhole(t) {
			return &digest.ReadReply{}, next
		}
		reply.Whole = true
		records = t.all()
	}
	for _, record := range records {
		reply.Records = append(reply.Records, &digest.Record{Key: record.Key, Value: record.Value})
	}
	return reply, next
}

// reachesStore reports whether some topic was confirmed lately. Reads of a topic that changes
// rarely wait so long that its own age does not say whether this host still reaches the store.
// The caller holds the mutex.
func (c *Cache) reachesStore(now boottime.Instant) bool {
	for _, t := range c.topics {
		if now.MillisSince(t.confirmedAt) <= lostMillis {
			return true
		}
	}
	return false
}

// allowWhole reports whether a reply with the newest record of each key may be sent now. The
// client reads the store itself otherwise. The caller holds the mutex.
func (c *Cache) allowWhole(t *topic) bool {
	if c.whole == nil {
		c.whole = rate.NewLimiter(wholeBytesPerSecond, wholeBurstBytes)
	}
	size := 0
	for key, value := range t.newest {
		size += len(key) + len(value)
	}
	return c.whole.AllowN(time.Now(), size)
}

// isBehind reports whether the client has read more than this host, in this era of the store
// or a later one.
func (t *topic) isBehind(request *digest.ReadRequest) bool {
	if request.GetEra() != t.era {
		return request.GetEra() > t.era
	}
	return request.GetFrom() > t.next
}

// since returns the changes from an offset on. It returns false when some of them
// are no longer cached, when the offset was given out in another era, or when it is
// negative, by which a client requests the newest record of each key.
func (t *topic) since(era, from int64) ([]platform.Record, bool) {
	if era != t.era || from < 0 || from > t.next {
		return nil, false
	}
	missing := t.next - from
	if missing > int64(len(t.recent)) {
		return nil, false
	}
	return t.recent[len(t.recent)-int(missing):], true
}

// all returns the newest record of each key.
func (t *topic) all() []platform.Record {
	all := make([]platform.Record, 0, len(t.newest))
	for key, value := range t.newest {
		all = append(all, platform.Record{Key: key, Value: value})
	}
	return all
}
