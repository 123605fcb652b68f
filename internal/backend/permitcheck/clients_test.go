package permitcheck

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func TestAskersAreServedUntilTheyHangUp(t *testing.T) {
	is := is.New(t)
	var a Clients
	ctx, hangUp := context.WithCancel(context.Background())
	delivered := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		return a.Serve(ctx, func() error {
			close(delivered)
			return nil
		})
	})
	<-delivered
	is.Equal(a.Served(), 1)
	is.True(!a.MayReconnect(time.Now()))
	hangUp()
	is.NoErr(group.Wait())
	is.Equal(a.Served(), 0)
	is.True(a.MayReconnect(time.Now()))
	is.True(!a.MayReconnect(time.Now().Add(reconnectMillis * time.Millisecond)))
}
