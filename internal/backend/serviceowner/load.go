package serviceowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// permille is the number of parts of a whole.
const permille = 1000

// Load returns the current load.
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
	}
}

// Probe answers with the current load.
func (o *Owner) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.Load(), nil
}

// Generate is not served by a plain service.
func (o *Owner) Generate(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
	return drpcerr.WithCode(errors.New("a plain service runs no generation"), drpcerr.Unimplemented)
}

// Cancel does nothing: a call of a plain service can't be stopped.
func (o *Owner) Cancel(context.Context, *message.CancelRequest) (*message.CancelReply, error) {
	return &message.CancelReply{}, nil
}

// Open returns the count of calls that run, of askers that have not hung up, and
// of replies that came a moment ago and were not read yet. While the process
// leaves, an asker that may return on a fresh connection counts too.
func (o *Owner) Open() int {
	now := time.Now()
	unread := o.PermitChecker.Unread(o.Settings.HoldSeconds, now)
	open := max(int(o.running.Load())+unread, o.clients.Served())
	if open == 0 && o.leaving.Load() && o.clients.MayReconnect(now) {
		return 1
	}
	return open
}

// Leave stops the admission of new work.
func (o *Owner) Leave() { o.leaving.Store(true) }
