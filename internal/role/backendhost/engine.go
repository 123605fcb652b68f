package backendhost

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/engineowner"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
)

// engineAdapter makes the engine client usable as the engine of an
// engineowner.Owner.
type engineAdapter struct {
	client *engine.Client
}

// Generate starts a generation and opens its stream.
func (a engineAdapter) Generate(ctx context.Context, request engine.Request) (engineowner.Stream, error) {
	stream, err := a.client.Generate(ctx, request)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Cancel stops a generation at the engine.
func (a engineAdapter) Cancel(ctx context.Context, id string) error {
	return a.client.Cancel(ctx, id)
}

// CacheEvents returns the engine's cache events after the sequence number since.
func (a engineAdapter) CacheEvents(ctx context.Context, since uint64) ([]engine.CacheEvent, error) {
	return a.client.CacheEvents(ctx, since)
}

// Order sends one order to the engine.
func (a engineAdapter) Order(ctx context.Context, order engine.Order) error {
	return a.client.Order(ctx, order)
}
