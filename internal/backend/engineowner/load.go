package engineowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Load returns the current load.
func (o *Owner) Load() *message.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	load := o.Admission.Load()
	return &message.Load{
		Backend:          o.Settings.Name,
		Incarnation:      o.Incarnation,
		Running:          uint32(load.Running),
		Waiting:          uint32(load.Waiting),
		MemoryPermille:   uint32(load.MemoryPermille),
		ForecastPermille: uint32(load.ForecastPermille),
		Leaving:          o.leaving.Load(),
		ConfigVersion:    o.ConfigVersion(),
		Prefixes:         o.recent.hashes,
	}
}

// Probe answers with the current load.
func (o *Owner) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.Load(), nil
}

// Open returns the count of generations that have not ended, of askers that have
// not hung up, and of answers that ended a moment ago and were not read yet: a
// caller whose path broke may be on its way back for them. While the process
// leaves, an asker that may return on a fresh connection counts too.
func (o *Owner) Open() int {
	now := time.Now()
	unread := o.PermitChecker.Unread(o.Settings.HoldSeconds, now)
	open := max(o.Replay.OpenRequests()+unread, o.clients.Served())
	if open == 0 && o.leaving.Load() && o.clients.MayReconnect(now) {
		return 1
	}
	return open
}

// Leave stops the admission of new work. Open generations run to their end. An
// admission that is under way ends before, so that Open counts it.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving.Store(true)
}

// Call is not served by an engine.
func (o *Owner) Call(*message.CallRequest, message.DRPCBackend_CallStream) error {
	return drpcerr.WithCode(errors.New("an engine runs no plain call"), drpcerr.Unimplemented)
}
