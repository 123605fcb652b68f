package lifetime

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// OnReload calls reload for each hang-up signal until ctx ends.
func OnReload(ctx context.Context, reload func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			reload()
		}
	}
}
