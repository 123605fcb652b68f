package poller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

func member(name string, seenAt time.Time) membership.Member {
	return membership.Member{Host: membership.Host{Name: name}, SeenAt: seenAt}
}

func TestOldestIsBoundedAndOrdered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	watched := []membership.Member{
		member("fresh", now.Add(-100*time.Millisecond)),
		member("old", now.Add(-2*time.Second)),
		member("older", now.Add(-3*time.Second)),
		member("never", time.Time{}),
	}
	var names []string
	for _, m := range oldest(watched, now, 2) {
		names = append(names, m.Host.Name)
	}
	is.Equal(fmt.Sprint(names), "[never older]")
}

func TestPeriodsGrowWithHostCount(t *testing.T) {
	is := is.New(t)
	is.Equal(ListPeriodMillis(20, 1000), 3200)
	is.Equal(ListPeriodMillis(1260, 1000), 201600)
	is.Equal(RegisterPeriodMillis(20), 5000)
	is.Equal(RegisterPeriodMillis(1260), 63000)
}
