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
	is.True(!c.MayReconnect(time.Now()))
	disconnect()
	is.NoErr(group.Wait())
	is.Equal(c.Served(), 0)
	is.True(c.MayReconnect(time.Now()))
	is.True(!c.MayReconnect(time.Now().Add(reconnectMillis * time.Millisecond)))
}
