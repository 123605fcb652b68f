package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Load returns the current load.
func (k *Keeper) Load() *message.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	load := k.Book.Load()
	return &message.Load{
		Backend:          k.Settings.Name,
		Incarnation:      k.Incarnation,
		Running:          uint32(load.Running),
		Waiting:          uint32(load.Waiting),
		MemoryPermille:   uint32(load.MemoryPermille),
		ForecastPermille: uint32(load.ForecastPermille),
		Leaving:          k.leaving.Load(),
		ConfigVersion:    k.ConfigVersion(),
		Prefixes:         k.recent.hashes,
	}
}

// Probe answers with the current load.
func (k *Keeper) Probe(_ context.Context, in *message.ProbeRequest) (*message.Load, error) {
	k.VersionSeen(in.GetConfigVersion(), in.GetAsker())
	return k.Load(), nil
}

// Open returns the count of generations that have not ended, of askers that have
// not hung up, and of answers that ended a moment ago and were not read yet: a
// caller whose path broke may be on its way back for them. While the process
// leaves, an asker that may return on a fresh connection counts too.
func (k *Keeper) Open() int {
	now := time.Now()
	unread := k.Warden.Unread(k.Settings.HoldSeconds, now)
	open := max(k.Logbook.OpenRequests()+unread, k.askers.Served())
	if open == 0 && k.leaving.Load() && k.askers.MayReturn(now) {
		return 1
	}
	return open
}

// Leave stops the admission of new work. Open generations run to their end. An
// admission that is under way ends before, so that Open counts it.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving.Store(true)
}

// Call is not served by an engine.
func (k *Keeper) Call(*message.CallRequest, message.DRPCBackend_CallStream) error {
	return drpcerr.WithCode(errors.New("an engine runs no plain call"), drpcerr.Unimplemented)
}
