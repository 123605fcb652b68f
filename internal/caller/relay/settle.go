package relay

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/serverend"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// settleRoundMillis is the time between two searches for answers whose servers have stayed up, or
	// have to be checked.
	settleRoundMillis = 100
	// maxEndChecks bounds the servers that are checked at the same time.
	maxEndChecks = 8
)

// SettleAnswers finds out, until ctx ends, whether servers stay up after their answers. Those that do
// end the evidence against the requests, and those that don't have crashed under them.
func (r *Relay) SettleAnswers(ctx context.Context) error {
	for ctx.Err() == nil {
		boottime.Pause(ctx, settleRoundMillis)
		r.settleAnswers(ctx)
	}
	return nil
}

// settleAnswers checks the servers of which nothing else shows whether they have stayed up, and
// records the answers of those that have.
func (r *Relay) settleAnswers(ctx context.Context) {
	settled, unverified := r.Ends.Settle(boottime.Now())
	if len(unverified) > 0 {
		var group errgroup.Group
		group.SetLimit(maxEndChecks)
		for _, server := range unverified {
			group.Go(func() error {
				r.checkUp(ctx, server)
				return nil
			})
		}
		_ = group.Wait()
		more, _ := r.Ends.Settle(boottime.Now())
		settled = append(settled, more...)
	}
	for _, answer := range settled {
		r.Crashes.RecordSettled(answer)
	}
}

// checkUp finds out whether a server is still up after it has answered. It reports no crash if the
// server is leaving, is not listed any more, or is listed as another incarnation. If another
// incarnation takes the address before the list names it, the connection succeeds and the server
// counts as up, unless an answer 421 to another request has named the new incarnation.
func (r *Relay) checkUp(ctx context.Context, checked serverend.Incarnation) {
	server, listed := r.StoreWatcher.Servers().List.Find(checked.ID)
	if !listed || serverend.IncarnationOf(server) != checked {
		r.Ends.MarkUnverified(checked, boottime.Now())
		return
	}
	startedAt := boottime.Now()
	err := transport.DialPort(ctx, server.Address)
	switch {
	case err == nil:
		r.Ends.ConfirmUp(checked, startedAt)
	case errors.Is(err, syscall.ECONNREFUSED) && !r.isLeaving(server):
		r.recordCrash(server, r.Ends.End(checked, boottime.Now()))
	default:
		r.Ends.MarkUnverified(checked, startedAt)
	}
}
