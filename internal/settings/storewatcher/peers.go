package storewatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

const (
	// peerWaitMillis is how long another entry host holds a read until there is
	// a change.
	peerWaitMillis = 300
	// peerReplyTimeoutMillis bounds a call to another entry host beyond that wait.
	peerReplyTimeoutMillis = 250
	// catchUpWaitMillis is that time after the store was read, as the other host may
	// know less until its next read.
	catchUpWaitMillis = changeWaitMillis + serversPauseMillis + 100
	// ageSlackMillis is the time that calls take beyond their waits.
	ageSlackMillis = 100
	// storeFallbackMillis is how long the store is read when no entry host answers.
	storeFallbackMillis = 3000
)

// errNoFreshData says that another entry host has nothing fresh to tell.
var errNoFreshData = errors.New("entry host has no fresh knowledge")

// peerConn is the connection to one of the entry hosts that read the store.
type peerConn struct {
	// conn is nil while there is no connection.
	conn drpc.Conn
	// address is that of conn.
	address string
	// directUntil is the moment until which the store is read.
	directUntil boottime.Instant
	// ahead says that the store was read since an entry host was.
	ahead bool
}

// readPeers asks one of the entry hosts that read the store. It reports false
// when that one gave no fresh knowledge; the store is read next, as a change
// may be waiting there.
func (f *follower) readPeers(ctx context.Context) (topicRead, bool) {
	readers := f.watcher.Readers
	if len(readers) == 0 || boottime.Now().Before(f.peer.directUntil) {
		return topicRead{}, false
	}
	r, err := f.queryPeer(ctx, readers[rand.IntN(len(readers))])
	if err == nil {
		return r, true
	}
	f.watcher.Log.Warn("entry host gave no knowledge", "Topic", f.topic, "Peer", f.peer.address, "Error", err)
	f.peer.close()
	f.peer.directUntil = boottime.Now().AddMillis(storeFallbackMillis)
	return topicRead{}, false
}

// queryPeer reads over the open connection, or over a new one to address.
func (f *follower) queryPeer(ctx context.Context, address string) (topicRead, error) {
	startedAt := boottime.Now()
	waitMillis := int64(peerWaitMillis)
	if f.peer.ahead {
		waitMillis = catchUpWaitMillis
	}
	deadline := time.Now().Add(time.Duration(waitMillis+peerReplyTimeoutMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	if err := f.peer.connect(ctx, address); err != nil {
		return topicRead{}, err
	}
	from := int64(-1)
	if f.synced {
		from = f.next
	}
	reply, err := digest.NewDRPCDigestClient(f.peer.conn).Read(ctx, &digest.ReadRequest{
		Topic:      f.topic,
		From:       from,
		WaitMillis: uint32(waitMillis),
	})
	if err != nil {
		return topicRead{}, errors.Wrap(err, "read at an entry host")
	}
	if !reply.GetKnown() || reply.GetAgeMillis() > f.maxAgeMillis() {
		return topicRead{}, errors.Wrapf(errNoFreshData, "known %t, age %d ms", reply.GetKnown(), reply.GetAgeMillis())
	}
	f.peer.ahead = false
	// The age holds at the reply, which came after the start.
	return topicRead{
		records:     decodeReply(reply),
		whole:       reply.GetWhole(),
		confirmedAt: startedAt.AddMillis(-reply.GetAgeMillis()),
	}, nil
}

// maxAgeMillis returns the age up to which another entry host's knowledge is taken
// over. While nothing changes, a host that reaches the store knows of the time
// before two waits and the pause between them.
func (f *follower) maxAgeMillis() int64 {
	return 2*f.waitMillis + f.pauseMillis + ageSlackMillis
}

func (p *peerConn) connect(ctx context.Context, address string) error {
	if p.conn != nil {
		return nil
	}
	p.address = address
	conn, err := transport.Dial(ctx, address)
	if err != nil {
		return err
	}
	p.conn = conn
	return nil
}

// close closes the connection, if there is one.
func (p *peerConn) close() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn = nil
}

func decodeReply(reply *digest.ReadReply) platform.Records {
	records := platform.Records{Next: reply.GetNext()}
	for _, r := range reply.GetRecords() {
		records.List = append(records.List, platform.Record{Key: r.GetKey(), Value: r.GetValue()})
	}
	return records
}
