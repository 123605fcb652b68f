package storecache

import (
	"context"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/digest"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// maxAppended bounds the records of one call of Append.
const maxAppended = 512

// Append appends records to the store for another entry host, unless this host has lost the
// store, too. Only the topic of crashes may be written.
func (c *Cache) Append(ctx context.Context, request *digest.AppendRequest) (*digest.AppendReply, error) {
	if c.AppendRecords == nil || request.GetTopic() != platform.CrashesTopic || len(request.GetRecords()) > maxAppended || !c.hasStore() {
		return &digest.AppendReply{}, nil
	}
	records := make([]platform.Record, 0, len(request.GetRecords()))
	for _, r := range request.GetRecords() {
		records = append(records, platform.Record{Key: r.GetKey(), Value: r.GetValue()})
	}
	err := c.AppendRecords(ctx, platform.CrashesTopic, records)
	return &digest.AppendReply{Appended: err == nil}, nil
}

// hasStore reports whether this host has read the store lately.
func (c *Cache) hasStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachesStore(boottime.Now())
}
