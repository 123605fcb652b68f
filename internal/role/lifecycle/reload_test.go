package lifecycle

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestReloadKeepsEarlySignal guards against a hang-up signal that ends the process, or
// is lost, because it arrives before the process is ready to reload.
func TestReloadKeepsEarlySignal(t *testing.T) {
	is := is.New(t)
	reload := CatchReload()
	defer reload.Stop()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	ctx, stop := context.WithCancel(context.Background())
	reloads := 0
	is.NoErr(reload.Run(ctx, func() {
		reloads++
		stop()
	}))
	is.Equal(reloads, 1)
}
