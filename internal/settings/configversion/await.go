package configversion

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// inForcePollMillis is the pause between two requests to one peer.
const inForcePollMillis = 250

// ExchangeFunc sends a version exchange request to a peer.
type ExchangeFunc func(ctx context.Context, peer string, request *message.ExchangeRequest) (*message.ExchangeReply, error)

// AwaitInForce waits until the version, or a newer one, is in force at all
// peers. It fails when ctx ends first.
func AwaitInForce(ctx context.Context, exchange ExchangeFunc, peers []string, version uint64) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, peer := range peers {
		g.Go(func() error {
			return errors.Wrapf(awaitPeer(ctx, exchange, peer, version), "wait for version %d at %s", version, peer)
		})
	}
	return g.Wait()
}

// awaitPeer waits until the version, or a newer one, is in force at one peer.
func awaitPeer(ctx context.Context, exchange ExchangeFunc, peer string, version uint64) error {
	for {
		reply, err := exchange(ctx, peer, &message.ExchangeRequest{Version: version})
		if err == nil && reply.GetVersion() >= version {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(inForcePollMillis*time.Millisecond)) {
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// FetchState returns the state of a peer. It is the seed of a Publisher when the history
// of the stream has expired.
func FetchState(ctx context.Context, exchange ExchangeFunc, peer string) (State, error) {
	reply, err := exchange(ctx, peer, &message.ExchangeRequest{})
	if err != nil {
		return State{}, errors.Wrapf(err, "request the state of %s", peer)
	}
	if len(reply.GetRecord()) == 0 {
		return State{}, errors.Newf("%s returned no configuration record", peer)
	}
	return decodeState(reply.GetRecord())
}

// decodeState decodes the snapshot in a peer's reply.
func decodeState(data []byte) (State, error) {
	entry, err := Decode(data)
	if err != nil {
		return State{}, err
	}
	snapshot, ok := entry.(Snapshot)
	if !ok {
		return State{}, errors.Newf("got a configuration entry of type %T, want Snapshot", entry)
	}
	return StateOf(snapshot)
}
