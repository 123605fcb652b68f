package placementqueue

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestQueueOrder replays a moment at which engines are full: requests wait, then
// memory becomes free bit by bit. Urgent ones come first, then those whose time is
// shortest, and a small request passes a large one that nothing has room for.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &Queue{}
		ctx, stop := context.WithCancel(context.Background())
		free := 0
		var placed []string
		var group errgroup.Group
		group.Go(func() error { return q.Run(ctx) })
		wait := func(name string, rank Rank, tokens int) {
			group.Go(func() error {
				ok := q.Wait(ctx, rank, func() bool {
					if free < tokens {
						return false
					}
					free -= tokens
					placed = append(placed, name)
					return true
				})
				if !ok {
					placed = append(placed, name+" gave up")
				}
				return nil
			})
			synctest.Wait()
		}
		wait("late", Rank{Account: 1, Route: 1, AimAt: 900}, 3000)
		wait("soon", Rank{Account: 1, Route: 1, AimAt: 500}, 3000)
		wait("large", Rank{Account: 1, Route: 0, AimAt: 500}, 9000)
		wait("small", Rank{Account: 1, Route: 0, AimAt: 800}, 1000)
		wait("account", Rank{Account: 0, Route: 1, AimAt: 800}, 3000)
		is.Equal(q.Length(), 5)
		signal := func(tokens int) {
			free += tokens
			q.Signal()
			time.Sleep(2 * passMillis * time.Millisecond)
			synctest.Wait()
		}
		signal(3000)
		is.Equal(placed, []string{"account"})
		signal(1000)
		is.Equal(placed, []string{"account", "small"})
		signal(3000)
		signal(3000)
		is.Equal(placed, []string{"account", "small", "soon", "late"})
		stop()
		is.NoErr(group.Wait())
		is.True(slices.Contains(placed, "large gave up"))
		is.Equal(q.Length(), 0)
	})
}

// TestManyWaitingRequests replays a second at full engines in which a load changes each
// millisecond and requests keep arriving: the number of attempts to place one stays bounded,
// and each of them is tried soon.
func TestManyWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests, playMillis = 100, 1000
		q := &Queue{}
		ctx, stop := context.WithCancel(context.Background())
		tries := make([]int, requests)
		var group errgroup.Group
		group.Go(func() error { return q.Run(ctx) })
		for n := range requests {
			group.Go(func() error {
				q.Wait(ctx, Rank{}, func() bool {
					tries[n]++
					return false
				})
				return nil
			})
			q.Signal()
			time.Sleep(time.Millisecond)
		}
		for range playMillis {
			q.Signal()
			time.Sleep(time.Millisecond)
		}
		total := 0
		for _, count := range tries {
			total += count
			is.True(count >= 3)
		}
		is.True(total <= (requests+playMillis)/triedMillis+2*requests)
		stop()
		is.NoErr(group.Wait())
	})
}

// TestRoomWithoutASignal checks that a waiting request is tried again although no load has
// changed, as a pause that an engine asked for may have ended.
func TestRoomWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const roomMillis = 250
		q := &Queue{}
		ctx, stop := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return q.Run(ctx) })
		began := time.Now()
		is.True(q.Wait(ctx, Rank{}, func() bool { return time.Since(began) >= roomMillis*time.Millisecond }))
		is.True(time.Since(began) <= (roomMillis+maxPauseMillis+passMillis+triedMillis)*time.Millisecond)
		stop()
		is.NoErr(group.Wait())
	})
}
