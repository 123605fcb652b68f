package permitcheck

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func TestClientsAreServedUntilTheyDisconnect(t *testing.T) {
	is := is.New(t)
	var c Clients
	ctx, disconnect := context.WithCancel(context.Background())
	delivered := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		return c.Serve(ctx, func() error {
			close(delivered)
			return nil
		})
	})
	<-delivered
	is.Equal(c.Served(), 1)
	is.True(!c.MayConnect(time.Now()))
	disconnect()
	is.NoErr(group.Wait())
	is.Equal(c.Served(), 0)
	is.True(c.MayConnect(time.Now()))
	is.True(!c.MayConnect(time.Now().Add(reconnectMillis * time.Millisecond)))
}

// TestClientsMayArrive checks that a process that leaves waits for clients that chose it
// before, counted from the first call of Leave.
func TestClientsMayArrive(t *testing.T) {
	is := is.New(t)
	c := &Clients{}
	now := time.Now()
	c.Leave(now)
	c.Leave(now.Add(time.Second))
	is.True(c.MayConnect(now.Add((arrivalMillis - 1) * time.Millisecond)))
	is.True(!c.MayConnect(now.Add(arrivalMillis * time.Millisecond)))
}
