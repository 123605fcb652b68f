package referral

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/routing/roster"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/visit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// benchModels is the number of models that the backend servers are spread over.
const benchModels = 5

// benchReferral knows so many backend servers in eight availability zones.
func benchReferral(b *testing.B, backends int, now time.Time) *Referral {
	b.Helper()
	var hosts []roster.Host
	for n := range backends {
		hosts = append(hosts, roster.Host{
			Name:             fmt.Sprintf("backend-%04d", n),
			Role:             roster.RoleBackend,
			Region:           "region-0",
			AvailabilityZone: fmt.Sprintf("zone-%d", n%8),
			PeerAddress:      "127.0.0.1:1",
			Model:            fmt.Sprintf("model-%d", n%benchModels),
			State:            roster.StateLive,
		})
	}
	r := &Referral{
		Name:          "entry-17",
		Zone:          "zone-1",
		Region:        "region-0",
		Candidates:    8,
		Roster:        &roster.Roster{},
		Configuration: func() *agreement.Document { return nil },
		VersionSeen:   func(uint64, string) {},
	}
	if err := r.Roster.ApplyList(hosts, now); err != nil {
		b.Fatal(err)
	}
	for n, host := range hosts {
		load := &message.Load{Backend: host.Name, Incarnation: uint64(n + 1), Prefixes: make([]uint64, 8)}
		r.Observe(load, now, now)
	}
	return r
}

// BenchmarkPick measures the choice for one request, after a reply that has
// changed the roster: 100, 400 and 900 backend servers with five models.
func BenchmarkPick(b *testing.B) {
	for _, backends := range []int{100, 400, 900} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			now := time.Now()
			r := benchReferral(b, backends, now)
			load := &message.Load{Backend: "backend-0001", Incarnation: 2}
			selection := visit.Selection{Service: "s", Model: "model-1", Prompt: strings.Repeat("plan ", 200)}
			b.ReportAllocs()
			for b.Loop() {
				r.Observe(load, now, now)
				if _, refusal := r.Pick(selection, now); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// BenchmarkWatched measures what a period of probes asks for, in fleets of the
// same sizes.
func BenchmarkWatched(b *testing.B) {
	for _, backends := range []int{100, 400, 900} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			r := benchReferral(b, backends, time.Now())
			b.ReportAllocs()
			for b.Loop() {
				r.Watched()
			}
		})
	}
}
