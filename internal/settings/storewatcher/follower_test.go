package storewatcher

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/storecache"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/keyedlog"
	"github.com/fulmarvalve/fulmarvalve/platform"
)

// TestPausedSince checks which reads show that the process was paused.
func TestPausedSince(t *testing.T) {
	const startedAt = boottime.Instant(1_000_000_000)
	f := follower{waitMillis: changeWaitMillis}
	limit := f.longestReadMillis()
	tests := []struct {
		name       string
		tookMillis int64
		want       bool
	}{
		{"usual read", changeWaitMillis, false},
		{"read at another entry host and at the store, both cut by their limits", limit, false},
		{"suspended", limit + 2*pauseSlackMillis, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(pausedSince(startedAt, startedAt.AddMillis(tt.tookMillis), limit), tt.want)
		})
	}
}

// TestLongReadEndsAfterAnOutage checks that a read that waits at the store begins anew when
// another topic is read again after an outage.
func TestLongReadEndsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	store := &keyedlog.Log{}
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return store.Serve(ctx, "127.0.0.1:0", store.Routes()) })
	w := &Watcher{
		Store: &platform.Store{Address: store.Addr(), HTTP: platform.NewStoreHTTP()},
		Cache: &storecache.Cache{},
		Log:   slog.New(slog.DiscardHandler),
	}
	crashes := &follower{topic: platform.CrashesTopic, waitMillis: crashesWaitMillis, interrupt: &w.longRead, synced: true, watcher: w}
	began := time.Now()
	ended := make(chan time.Duration, 1)
	group.Go(func() error {
		crashes.readOnce(ctx, func(topicRead) {})
		ended <- time.Since(began)
		return nil
	})
	for crashes.idle() {
		boottime.Pause(ctx, 1)
	}
	configuration := &follower{topic: platform.ConfigurationTopic, failing: true, watcher: w}
	configuration.recordRecovery()
	is.True(<-ended < crashesWaitMillis*time.Millisecond/2)
	stop()
	is.NoErr(group.Wait())
}

// idle reports whether no read waits yet.
func (f *follower) idle() bool {
	f.interrupt.mu.Lock()
	defer f.interrupt.mu.Unlock()
	return f.interrupt.stop == nil
}
