package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const seed = 11

// fleet is the set of the quotas of several entry hosts, which report to each other.
type fleet struct {
	hosts []*Quota
	// reports counts the samples that were sent to another entry host.
	reports int
}

func newFleet(count int, limit float64, random *rand.Rand) *fleet {
	f := &fleet{}
	var hosts []Host
	for n := range count {
		hosts = append(hosts, Host{Name: fmt.Sprintf("entry-%d", n), Address: fmt.Sprint(n)})
	}
	for n := range count {
		f.hosts = append(f.hosts, &Quota{
			Name:    hosts[n].Name,
			Hosts:   func() []Host { return hosts },
			LimitOf: func(account string) Limit { return Limit{Account: account, RequestsPerSecond: limit} },
			Send: func(_ context.Context, address string, in *message.MeterRequest) (*message.MeterReply, error) {
				f.reports++
				var home int
				_, err := fmt.Sscan(address, &home)
				return f.hosts[home].HandleMeter(in, time.Now()), err
			},
			Random: random.Float64,
			Log:    slog.New(slog.DiscardHandler),
		})
	}
	return f
}

// TestAccountRateIsEnforced sends requests at rates far above and below an
// account's limit, to one entry host or spread over all, and checks the admitted
// rate.
func TestAccountRateIsEnforced(t *testing.T) {
	// The first warmup seconds are left out of the admitted rate.
	const limit, seconds, warmup = 20.0, 60, 20
	tests := []struct {
		hosts int
		// offered is the rate of requests per second.
		offered float64
		// spread sends the requests to all entry hosts instead of to one.
		spread           bool
		minimum, maximum float64
	}{
		{hosts: 1, offered: 10, minimum: 10, maximum: 10},
		{hosts: 3, offered: 16, minimum: 14, maximum: 16},
		{hosts: 3, offered: 200, minimum: 15, maximum: 26},
		{hosts: 3, offered: 200, spread: true, minimum: 15, maximum: 26},
		{hosts: 360, offered: 16, minimum: 14, maximum: 16},
		{hosts: 360, offered: 16, spread: true, minimum: 14, maximum: 16},
		{hosts: 360, offered: 2000, spread: true, minimum: 15, maximum: 26},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("%d hosts, %v offered, spread %t", tt.hosts, tt.offered, tt.spread)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 1))
				f := newFleet(tt.hosts, limit, random)
				ctx, stop := context.WithCancel(context.Background())
				var group errgroup.Group
				for _, h := range f.hosts {
					group.Go(func() error { return h.Run(ctx) })
				}
				admitted := 0
				for n := range int(tt.offered * seconds) {
					host := f.hosts[0]
					if tt.spread {
						host = f.hosts[random.IntN(tt.hosts)]
					}
					ok := host.Admit(Limit{Account: "club", RequestsPerSecond: limit}, time.Now())
					if ok && float64(n) >= tt.offered*warmup {
						admitted++
					}
					time.Sleep(time.Duration(float64(time.Second) / tt.offered))
					synctest.Wait()
				}
				stop()
				is.NoErr(group.Wait())
				rate := float64(admitted) / (seconds - warmup)
				t.Logf("seed %d: admitted %.1f/s, %.1f reports/s", seed, rate, float64(f.reports)/seconds)
				is.True(rate >= tt.minimum)
				is.True(rate <= tt.maximum)
			})
		})
	}
}

// TestUnlimitedAccountIsNotReported checks that all requests of an account without
// a limit are admitted and none is sampled.
func TestUnlimitedAccountIsNotReported(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 0, rand.New(rand.NewPCG(seed, 2)))
	for range 100 {
		is.True(f.hosts[0].Admit(Limit{Account: "club"}, time.Unix(1000, 0)))
	}
	is.Equal(len(f.hosts[0].reports), 0)
}
