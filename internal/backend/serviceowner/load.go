package serviceowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// permille is a ratio of 1 in thousandths.
const permille = 1000

// Load returns the current load. Its memory values are the share of MaxRunning that
// is in use.
func (o *Owner) Load() *message.Load {
	running := o.running.Load()
	share := uint32(running * permille / int64(o.Settings.MaxRunning))
	return &message.Load{
		Backend:          o.Settings.Name,
		Incarnation:      o.PermitChecker.Incarnation,
		Running:          uint32(running),
		MemoryPermille:   share,
		ForecastPermille: share,
		Leaving:          o.leaving.Load(),
		ConfigVersion:    o.ConfigVersion(),
		Crashes:          o.Crashes.Recent(),
	}
}

// Probe returns the current load.
func (o *Owner) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.Load(), nil
}

// Generate fails: a plain service runs no generations.
func (o *Owner) Generate(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
	return drpcerr.WithCode(errors.New("a plain service runs no generation"), drpcerr.Unimplemented)
}

// Cancel does nothing: a call of a plain service can't be stopped.
func (o *Owner) Cancel(context.Context, *message.CancelRequest) (*message.CancelReply, error) {
	return &message.CancelReply{}, nil
}

// Open returns the amount of open work, for which a drain has to wait. It is the
// number of running calls plus recent replies that have not been read, or the number
// of connected clients if that is larger. While the process is draining, Open is at
// least 1 as long as a client may connect.
func (o *Owner) Open() int {
	now := time.Now()
	unread := o.PermitChecker.Unread(o.Settings.HoldSeconds, now)
	return o.clients.Open(int(o.running.Load())+unread, &o.leaving, now)
}

// Served returns the number of clients that have not disconnected. Each disconnects when
// it has received its answer.
func (o *Owner) Served() int { return o.clients.Served() }

// Leave starts draining: no new work is admitted.
func (o *Owner) Leave() {
	o.leaving.Store(true)
	o.clients.Leave(time.Now())
}
