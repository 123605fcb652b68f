package endtoend

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestAddressesStayFreeWhileProcessesStart guards against addresses that are in use although
// nothing of the test has them: a process that is being started holds the sockets that its
// parent had open, until it runs its program.
func TestAddressesStayFreeWhileProcessesStart(t *testing.T) {
	t.Parallel()
	const starters, pauseMillis, forMillis = 4, 1, 2000
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(forMillis*time.Millisecond))
	defer stop()
	var group errgroup.Group
	for range starters {
		group.Go(func() error {
			for ctx.Err() == nil {
				if err := exec.CommandContext(context.Background(), "true").Run(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	pool := newAddressPool(t)
	var config net.ListenConfig
	given, taken := 0, 0
	for ctx.Err() == nil {
		given++
		listener, err := config.Listen(context.Background(), "tcp", pool.next())
		if err != nil {
			taken++
			t.Log(err)
			continue
		}
		_ = listener.Close()
		time.Sleep(pauseMillis * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if taken > 0 {
		t.Errorf("%d of %d addresses were in use", taken, given)
	}
}

// TestAddressPoolsShareNoIPAddress checks that an IP address belongs to one pool only.
func TestAddressPoolsShareNoIPAddress(t *testing.T) {
	t.Parallel()
	pool := newAddressPool(t)
	var config net.ListenConfig
	if _, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", pool.ip, firstPort)); err == nil {
		t.Errorf("another pool could take %s", pool.ip)
	}
}
