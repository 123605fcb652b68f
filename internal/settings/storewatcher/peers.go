package storewatcher

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// peerWaitMillis is how long a read of the configuration or of the list at another entry
	// host waits for a change.
	peerWaitMillis = 300
	// peerReplyTimeoutMillis is the time limit of a call to another entry host, in
	// addition to its wait for a change.
	peerReplyTimeoutMillis = 250
	// readerWaitMillis is the same for a read of a reader, which the others depend on. It is
	// short, so that a reader that no longer answers is replaced before its data is stale.
	readerWaitMillis = 150
	// catchUpWaitMillis replaces peerWaitMillis after this host has read the store
	// itself, because the other entry host may be behind until its own next read.
	catchUpWaitMillis = changeWaitMillis + serversPauseMillis + 100
	// readerCatchUpMillis replaces catchUpWaitMillis at a reader, which does not read the store
	// while it waits. It gives the other reader time to learn of a change that this one has read.
	readerCatchUpMillis = serversPauseMillis + 100
	// firstConnectMillis is the time limit of the first connection to another entry host.
	// Until it has ended, this host serves nobody, and the other one may be down.
	firstConnectMillis = 100
	// wholeReplyMillis is the additional time limit of a reply with the newest record of each
	// key, which may be a long list.
	wholeReplyMillis = 700
	// ageSlackMillis is the allowance for the time that calls take in addition to
	// their waits. relayedSlackMillis is the same for data that may have come through two entry
	// hosts.
	ageSlackMillis     = 100
	relayedSlackMillis = 250
	// minFallbackMillis and maxFallbackMillis bound the time for which this host reads the
	// store itself after entry hosts failed several times in a row to return fresh data. It
	// doubles with each failure. After a single failure, which a restart causes, the host
	// reads the store once.
	minFallbackMillis = 400
	maxFallbackMillis = 3000
)

// errNoFreshData means that another entry host has no data of the topic, or only
// stale data.
var errNoFreshData = errors.New("entry host has no fresh data")

// peerConn is the connection to one of the entry hosts that read the store on behalf
// of the others.
type peerConn struct {
	// conn is nil while there is no connection.
	conn drpc.Conn
	// address is the address of the last connection attempt.
	address string
	// directUntil is the time until which this host reads the store itself.
	directUntil boottime.Instant
	// failures is the number of failed reads at other entry hosts since the last one that
	// succeeded.
	failures int
	// replied is set when an entry host replied to the last read, whether its data was fresh or
	// not.
	replied bool
	// ahead is set when the last read went to the store, so that this host may be
	// ahead of the other entry host.
	ahead bool
}

// errOwnReader says that this host reads the store itself now.
var errOwnReader = errors.New("this host reads the store itself")

// readPeers reads from one of the given entry hosts: from that of the open connection, or from the
// first one, and from the next one if that fails. After an error the caller reads the store, which
// may hold a change that the host lacks.
func (f *follower) readPeers(ctx context.Context, readers []string) (topicRead, error) {
	f.peer.replied = false
	if len(readers) == 0 {
		return topicRead{}, errOwnReader
	}
	if !slices.Contains(readers, f.peer.address) {
		f.peer.close()
	}
	waitMillis := f.peerWait()
	r, err := f.queryPeer(ctx, readers[0], waitMillis)
	if err == nil {
		f.peer.failures = 0
		return r, nil
	}
	failed := f.peer.address
	f.peer.close()
	n := slices.IndexFunc(readers, func(address string) bool { return address != failed })
	if n < 0 {
		return topicRead{}, err
	}
	if f.read && !errors.Is(err, syscall.ECONNREFUSED) {
		waitMillis = 0 // the first one took the time of a wait
	}
	f.extraMillis += waitMillis + peerReplyTimeoutMillis
	r, err = f.queryPeer(ctx, readers[n], waitMillis)
	if err != nil {
		f.peer.close()
		return topicRead{}, err
	}
	f.peer.failures = 0
	return r, nil
}

// peerWait returns how long a read at another entry host waits.
func (f *follower) peerWait() int64 {
	switch {
	case f.paused, f.failing:
		return 0
	case !f.peer.ahead:
		return f.peerWaitMillis
	case f.watcher.isReader():
		return max(readerCatchUpMillis, f.peerWaitMillis)
	default:
		return max(catchUpWaitMillis, f.peerWaitMillis)
	}
}

// noteFallback sets for how long this host reads the store itself after it could not read from
// another entry host.
func (f *follower) noteFallback(cause error) {
	if errors.Is(cause, errOwnReader) {
		return
	}
	f.peer.failures++
	fallbackMillis := fallbackMillis(f.peer.failures)
	f.peer.directUntil = boottime.Now().AddMillis(fallbackMillis)
	f.watcher.Log.Warn("entry host returned no fresh data; reading the store", "Topic", f.topic, "Peer", f.peer.address,
		"Failures", f.peer.failures, "FallbackMillis", fallbackMillis, "Error", cause)
}

// fallbackMillis returns how long a host reads the store itself after a number of failures in
// a row; zero means once.
func fallbackMillis(failures int) int64 {
	if failures <= 1 {
		return 0
	}
	const maxDoublings = 8
	return min(int64(minFallbackMillis)<<min(failures-2, maxDoublings), maxFallbackMillis)
}

// queryPeer reads from another entry host over the open connection, or over a new
// connection to address.
func (f *follower) queryPeer(ctx context.Context, address string, waitMillis int64) (topicRead, error) {
	startedAt := boottime.Now()
	limitMillis := waitMillis + peerReplyTimeoutMillis
	if !f.synced {
		limitMillis += wholeReplyMillis
	}
	deadline := time.Now().Add(time.Duration(limitMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	if err := f.connect(ctx, address); err != nil {
		return topicRead{}, err
	}
	// A negative offset requests the newest record of each key.
	from := int64(-1)
	if f.synced {
		from = f.next
	}
	reply, err := digest.NewDRPCDigestClient(f.peer.conn).Read(ctx, &digest.ReadRequest{
		Topic:          f.topic,
		From:           from,
		WaitMillis:     uint32(waitMillis),
		Era:            f.era,
		UntilConfirmed: f.watcher.isReader() || f.peer.ahead,
	})
	if err != nil {
		return topicRead{}, errors.Wrap(err, "read at an entry host")
	}
	f.peer.replied = true
	if !f.isFresh(reply) {
		return topicRead{}, errors.Wrapf(errNoFreshData, "known %t, relayed %t, age %d ms",
			reply.GetKnown(), reply.GetRelayed(), reply.GetAgeMillis())
	}
	f.peer.ahead = false
	r := topicRead{
		records:     decodeReply(reply),
		complete:    reply.GetWhole(),
		confirmedAt: confirmedAt(reply, startedAt, boottime.Now()),
		relayed:     true,
	}
	if f.watcher.isReader() {
		f.watcher.Cache.Update(storecache.TopicRead{
			Topic: f.topic, Records: r.records, Complete: r.complete, ConfirmedAt: r.confirmedAt, Relayed: true,
		})
	}
	return r, nil
}

// isFresh reports whether the data of another entry host is used. A reader uses only what the
// other one has read from the store itself: they would otherwise pass the same data to one another
// while none of them reads the store.
func (f *follower) isFresh(reply *digest.ReadReply) bool {
	if f.watcher.isReader() {
		return reply.GetKnown() && !reply.GetRelayed() && reply.GetAgeMillis() <= f.maxAgeMillis()
	}
	return reply.GetKnown() && reply.GetAgeMillis() <= f.maxAgeMillis()-ageSlackMillis+relayedSlackMillis
}

// confirmedAt returns the time up to which a reply confirms its data. The age counts from the
// reply, which was sent no earlier than its wait after startedAt, so the time is never later than
// the one that the other host has confirmed.
func confirmedAt(reply *digest.ReadReply, startedAt, endedAt boottime.Instant) boottime.Instant {
	waitedMillis := min(max(reply.GetWaitedMillis(), 0), endedAt.MillisSince(startedAt))
	return startedAt.AddMillis(waitedMillis - max(reply.GetAgeMillis(), 0))
}

// maxAgeMillis returns the maximum age at which data of another entry host that reads the store
// is accepted. While nothing changes, the data of a host that reaches the store is up to
// two waits and one pause old: a read confirms the state as of its start, and the
// next one ends only after its wait.
func (f *follower) maxAgeMillis() int64 {
	return 2*f.waitMillis + f.pauseMillis + ageSlackMillis
}

// connect opens the connection to another entry host unless it is open.
func (f *follower) connect(ctx context.Context, address string) error {
	if f.read {
		return f.peer.connect(ctx, address, f.watcher.Store.Memory)
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(firstConnectMillis*time.Millisecond))
	defer stop()
	return f.peer.connect(ctx, address, f.watcher.Store.Memory)
}

// connect dials address unless a connection is open. What the other host sends counts in the budget.
func (p *peerConn) connect(ctx context.Context, address string, memory *heldbytes.Budget) error {
	if p.conn != nil {
		return nil
	}
	p.address = address
	conn, err := transport.DialHeld(ctx, address, memory)
	if err != nil {
		return err
	}
	p.conn = conn
	return nil
}

// close closes the connection if it is open.
func (p *peerConn) close() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn = nil
}

func decodeReply(reply *digest.ReadReply) platform.Records {
	records := platform.Records{Next: reply.GetNext(), Era: reply.GetEra()}
	for _, r := range reply.GetRecords() {
		records.List = append(records.List, platform.Record{Key: r.GetKey(), Value: r.GetValue()})
	}
	return records
}
