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
		Prefixes:         o.prefixes.hashes,
		Crashes:          o.Crashes.Recent(),
	}
}

// Probe returns the current load.
func (o *Owner) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	o.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return o.Load(), nil
}

// Open returns the amount of open work, for which a drain has to wait. It is the
// number of open generations plus recently ended answers that have not been read,
// or the number of connected clients if that is larger. The unread answers count
// because a caller whose connection broke may reconnect to read them. While the
// process is draining, Open is at least 1 as long as a client may connect.
func (o *Owner) Open() int {
	now := time.Now()
	unread := o.PermitChecker.Unread(o.Settings.HoldSeconds, now)
	return o.clients.Open(o.Replay.OpenRequests()+unread, &o.leaving, now)
}

// Served returns the number of clients that have not disconnected. Each disconnects when
// it has received its answer.
func (o *Owner) Served() int { return o.clients.Served() }

// Leave starts draining: no new work is admitted, and open generations run to their
// end. Leave waits for an admission in progress, so that Open counts its request.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving.Store(true)
	o.clients.Leave(time.Now())
}

// Call fails: an engine does not serve calls of plain services.
func (o *Owner) Call(*message.CallRequest, message.DRPCBackend_CallStream) error {
	return drpcerr.WithCode(errors.New("an engine runs no plain call"), drpcerr.Unimplemented)
}
