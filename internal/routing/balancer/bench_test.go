package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// benchModels is the number of models that the backend servers are spread over.
const benchModels = 5

// newBenchBalancer returns a balancer for the given number of backend servers in
// eight availability zones.
func newBenchBalancer(b *testing.B, backends int, now time.Time) *Balancer {
	b.Helper()
	var hosts []membership.Host
	for n := range backends {
		hosts = append(hosts, membership.Host{
			Name:             fmt.Sprintf("backend-%04d", n),
			Role:             membership.RoleBackend,
			Region:           "region-0",
			AvailabilityZone: fmt.Sprintf("zone-%d", n%8),
			PeerAddress:      "127.0.0.1:1",
			Model:            fmt.Sprintf("model-%d", n%benchModels),
			State:            membership.StateLive,
		})
	}
	balancer := &Balancer{
		Name:          "entry-17",
		Zone:          "zone-1",
		Region:        "region-0",
		Candidates:    8,
		Members:       &membership.Table{},
		Configuration: func() *operatorfile.Document { return nil },
		VersionSeen:   func(uint64, string) {},
	}
	if err := balancer.Members.ApplyList(hosts, now); err != nil {
		b.Fatal(err)
	}
	for n, host := range hosts {
		load := &message.Load{Backend: host.Name, Incarnation: uint64(n + 1), Prefixes: make([]uint64, 8)}
		balancer.Observe(load, now, now)
	}
	return balancer
}

// BenchmarkPick measures the choice for one request after a reply that changed
// the membership table, with 100, 400 and 900 backend servers and five models.
func BenchmarkPick(b *testing.B) {
	for _, backends := range []int{100, 400, 900} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			now := time.Now()
			balancer := newBenchBalancer(b, backends, now)
			load := &message.Load{Backend: "backend-0001", Incarnation: 2}
			selection := dispatch.Selection{Service: "s", Model: "model-1", Prompt: strings.Repeat("plan ", 200)}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Observe(load, now, now)
				if _, refusal := balancer.Pick(selection, now); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// BenchmarkWatched measures the list of backend servers that each probe period
// starts with, with 100, 400 and 900 backend servers.
func BenchmarkWatched(b *testing.B) {
	for _, backends := range []int{100, 400, 900} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			balancer := newBenchBalancer(b, backends, time.Now())
			b.ReportAllocs()
			for b.Loop() {
				balancer.Watched()
			}
		})
	}
}
