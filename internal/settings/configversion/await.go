package configversion

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// convergencePollMillis is the pause between two questions to one peer.
const convergencePollMillis = 250

// ExchangeFunc sends a version exchange to a peer.
type ExchangeFunc func(ctx context.Context, peer string, request *message.ExchangeRequest) (*message.ExchangeReply, error)

// AwaitInForce waits until the version, or a newer one, is in force at all
// peers. It fails when ctx ends first.
func AwaitInForce(ctx context.Context, ask ExchangeFunc, peers []string, version uint64) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, peer := range peers {
		g.Go(func() error {
			return errors.Wrapf(awaitPeer(ctx, ask, peer, version), "wait for version %d at %s", version, peer)
		})
	}
	return g.Wait()
}

func awaitPeer(ctx context.Context, ask ExchangeFunc, peer string, version uint64) error {
	for {
		reply, err := ask(ctx, peer, &message.ExchangeRequest{Version: version})
		if err == nil && reply.GetVersion() >= version {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(convergencePollMillis*time.Millisecond)) {
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// FetchState returns the state that a peer holds, for a Publisher whose stream has
// lost its history.
func FetchState(ctx context.Context, ask ExchangeFunc, peer string) (State, error) {
	reply, err := ask(ctx, peer, &message.ExchangeRequest{})
	if err != nil {
		return State{}, errors.Wrapf(err, "ask %s for its version", peer)
	}
	if len(reply.GetRecord()) == 0 {
		return State{}, errors.Newf("%s sent no record", peer)
	}
	return decodeState(reply.GetRecord())
}

// decodeState decodes a snapshot that a peer sent.
func decodeState(data []byte) (State, error) {
	entry, err := Decode(data)
	if err != nil {
		return State{}, err
	}
	snapshot, ok := entry.(Snapshot)
	if !ok {
		return State{}, errors.Newf("expected a snapshot, found %T", entry)
	}
	return StateOf(snapshot)
}
