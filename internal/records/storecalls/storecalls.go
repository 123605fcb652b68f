// Package storecalls counts the calls of a process to the platform's store by their cause, logs
// the totals, and sums the totals of several processes from their logs.
package storecalls

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Operation is what a call does.
type Operation string

// Operations of calls.
const (
	// Newest reads the newest record of each key; each page of a long reply is one call.
	Newest Operation = "Newest"
	// Read reads the records from an offset on, and may wait for the first one.
	Read Operation = "Read"
	// Append appends records.
	Append Operation = "Append"
)

// Reason is why a call is made.
type Reason string

// Reasons of calls.
const (
	// Start means that the process has not read the topic yet.
	Start Reason = "Start"
	// Change means that the read before returned changes, or that there are records to append.
	Change Reason = "Change"
	// PollEnded means that the read before ended without a change.
	PollEnded Reason = "PollEnded"
	// Fallback means that another entry host should have returned the data, and did not.
	Fallback Reason = "Fallback"
	// Refused means that the store refused the call before.
	Refused Reason = "Refused"
	// Retry means that the call before failed in another way.
	Retry Reason = "Retry"
)

// Cause identifies what is counted together.
type Cause struct {
	Topic     string
	Operation Operation
	Reason    Reason
}

// Total is the number of calls with one cause since the process started.
type Total struct {
	Topic     string
	Operation Operation
	Reason    Reason
	Calls     int64
}

const (
	// logMillis is the time between two log lines.
	logMillis = 10_000
	// message is the text of the log line.
	message = "store calls"
)

// Counter counts the calls of a process. Its exported fields are set before use. A nil Counter
// counts nothing. It is safe for concurrent use.
type Counter struct {
	// Role is the role of the process, and Name its name in the settings.
	Role string
	Name string

	mu sync.Mutex
	// calls has few entries, as topics, operations and reasons come from fixed sets.
	calls map[Cause]int64
	// changed is set while the last log line lacks a call.
	changed bool
	// startedAt tells the totals of a process from those of an earlier one of the same name.
	startedAt time.Time
}

// Count counts a call.
func (c *Counter) Count(cause Cause) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[Cause]int64)
		c.startedAt = time.Now()
	}
	c.calls[cause]++
	c.changed = true
}

// Totals returns the number of calls by cause, in order of topic, operation and reason.
func (c *Counter) Totals() []Total {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals()
}

// totals is Totals for a caller that holds the mutex.
func (c *Counter) totals() []Total {
	all := make([]Total, 0, len(c.calls))
	for cause, calls := range c.calls {
		all = append(all, Total{Topic: cause.Topic, Operation: cause.Operation, Reason: cause.Reason, Calls: calls})
	}
	slices.SortFunc(all, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// Run logs the totals every ten seconds while they change, until ctx ends.
func (c *Counter) Run(ctx context.Context, log *slog.Logger) error {
	ticker := time.NewTicker(logMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.LogTotals(log)
		}
	}
}

// LogTotals logs the totals, unless the last line has them.
func (c *Counter) LogTotals(log *slog.Logger) {
	if c == nil {
		return
	}
	c.mu.Lock()
	changed, totals, startedAt := c.changed, c.totals(), c.startedAt
	c.changed = false
	c.mu.Unlock()
	if changed {
		log.Info(message, "Role", c.Role, "Name", c.Name, "StartedUnixMillis", startedAt.UnixMilli(), "Totals", totals)
	}
}
