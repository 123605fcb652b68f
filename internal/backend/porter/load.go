package porter

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
func (p *Porter) Load() *message.Load {
	running := p.running.Load()
	share := uint32(running * permille / int64(p.Settings.MaxRunning))
	return &message.Load{
		Backend:          p.Settings.Name,
		Incarnation:      p.Warden.Incarnation,
		Running:          uint32(running),
		MemoryPermille:   share,
		ForecastPermille: share,
		Leaving:          p.leaving.Load(),
		ConfigVersion:    p.ConfigVersion(),
	}
}

// Probe answers with the current load.
func (p *Porter) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	p.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return p.Load(), nil
}

// Generate is not served by a plain service.
func (p *Porter) Generate(*message.GenerateRequest, message.DRPCBackend_GenerateStream) error {
	return drpcerr.WithCode(errors.New("a plain service runs no generation"), drpcerr.Unimplemented)
}

// Cancel does nothing: a call of a plain service can't be stopped.
func (p *Porter) Cancel(context.Context, *message.CancelRequest) (*message.CancelReply, error) {
	return &message.CancelReply{}, nil
}

// Open returns the count of calls that run, of askers that have not hung up, and
// of replies that came a moment ago and were not read yet. While the process
// leaves, an asker that may return on a fresh connection counts too.
func (p *Porter) Open() int {
	now := time.Now()
	unread := p.Warden.Unread(p.Settings.HoldSeconds, now)
	open := max(int(p.running.Load())+unread, p.askers.Served())
	if open == 0 && p.leaving.Load() && p.askers.MayReturn(now) {
		return 1
	}
	return open
}

// Leave stops the admission of new work.
func (p *Porter) Leave() { p.leaving.Store(true) }
