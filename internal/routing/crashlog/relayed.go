package crashlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// relayedMillis is the time limit of an append through another entry host.
const relayedMillis = 1500

// errNotRelayed says that no other entry host appended the records either.
var errNotRelayed = errors.New("no entry host appended the records")

// appendRelayed appends records through another entry host, as the store may refuse this one and
// serve the others.
func (l *Log) appendRelayed(ctx context.Context, batch []platform.Record) error {
	request := &digest.AppendRequest{Topic: platform.CrashesTopic}
	for _, r := range batch {
		request.Records = append(request.Records, &digest.Record{Key: r.Key, Value: r.Value})
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(relayedMillis*time.Millisecond))
	defer stop()
	for _, n := range rand.Perm(len(l.Readers)) {
		reply, err := transport.Call(ctx, l.Readers[n], func(ctx context.Context, conn drpc.Conn) (*digest.AppendReply, error) {
			return digest.NewDRPCDigestClient(conn).Append(ctx, request)
		})
		if err == nil && reply.GetAppended() {
			return nil
		}
	}
	return errNotRelayed
}
