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
	// peerReplyMillis bounds a call to another entry host beyond that wait.
	peerReplyMillis = 250
	// catchUpMillis is that time after the store was read, as the other host may
	// know less until its next read.
	catchUpMillis = changeWaitMillis + listMillis + 100
	// ageSlackMillis is the time that calls take beyond their waits.
	ageSlackMillis = 100
	// directMillis is how long the store is read when no entry host answers.
	directMillis = 3000
)

// errNoKnowledge says that another entry host has nothing fresh to tell.
var errNoKnowledge = errors.New("entry host has no fresh knowledge")

// peers is the connection to one of the entry hosts that read the store.
type peers struct {
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
func (f *follower) readPeers(ctx context.Context) (reading, bool) {
	readers := f.courier.Readers
	if len(readers) == 0 || boottime.Now().Before(f.peers.directUntil) {
		return reading{}, false
	}
	r, err := f.askPeer(ctx, readers[rand.IntN(len(readers))])
	if err == nil {
		return r, true
	}
	f.courier.Log.Warn("entry host gave no knowledge", "Topic", f.topic, "Peer", f.peers.address, "Error", err)
	f.peers.hangUp()
	f.peers.directUntil = boottime.Now().AddMillis(directMillis)
	return reading{}, false
}

// askPeer reads over the open connection, or over a new one to address.
func (f *follower) askPeer(ctx context.Context, address string) (reading, error) {
	startedAt := boottime.Now()
	waitMillis := int64(peerWaitMillis)
	if f.peers.ahead {
		waitMillis = catchUpMillis
	}
	deadline := time.Now().Add(time.Duration(waitMillis+peerReplyMillis) * time.Millisecond)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	if err := f.peers.connect(ctx, address); err != nil {
		return reading{}, err
	}
	from := int64(-1)
	if f.listed {
		from = f.next
	}
	reply, err := digest.NewDRPCDigestClient(f.peers.conn).Read(ctx, &digest.ReadRequest{
		Topic:      f.topic,
		From:       from,
		WaitMillis: uint32(waitMillis),
	})
	if err != nil {
		return reading{}, errors.Wrap(err, "read at an entry host")
	}
	if !reply.GetKnown() || reply.GetAgeMillis() > f.maxAgeMillis() {
		return reading{}, errors.Wrapf(errNoKnowledge, "known %t, age %d ms", reply.GetKnown(), reply.GetAgeMillis())
	}
	f.peers.ahead = false
	// The age holds at the reply, which came after the start.
	return reading{
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

func (p *peers) connect(ctx context.Context, address string) error {
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

// hangUp closes the connection, if there is one.
func (p *peers) hangUp() {
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
