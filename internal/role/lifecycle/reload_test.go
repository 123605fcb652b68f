package lifecycle

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A hang-up signal that comes before the process serves is acted on later and
// does not end the process.
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
