package rounds

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/hostlist"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/roster"
)

// BenchmarkWatched measures what one period of probes costs before the first
// probe: 100, 400 and 900 backend servers with five models.
func BenchmarkWatched(b *testing.B) {
	const models = 5
	for _, backends := range []int{100, 400, 900} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			var hosts []roster.Host
			for n := range backends {
				hosts = append(hosts, roster.Host{
					Name:             fmt.Sprintf("backend-%04d", n),
					Role:             roster.RoleBackend,
					AvailabilityZone: fmt.Sprintf("zone-%d", n%8),
					PeerAddress:      "127.0.0.1:1",
					Model:            fmt.Sprintf("model-%d", n%models),
					State:            roster.StateLive,
				})
			}
			r := &Rounds{
				Self:       func() hostlist.Host { return hostlist.Host{Name: "entry-17", Zone: "zone-1"} },
				Candidates: 8,
				Roster:     &roster.Roster{},
			}
			now := time.Now()
			if err := r.Roster.ApplyList(hosts, now); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				oldest(r.watched(), now, probesPerPeriod)
			}
		})
	}
}
