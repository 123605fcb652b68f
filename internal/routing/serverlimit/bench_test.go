package serverlimit

import (
	"fmt"
	"testing"
)

// BenchmarkHeld measures the look-up for one request, with four servers that name limits and
// statements of 5, 28 and 103 hosts.
func BenchmarkHeld(b *testing.B) {
	for _, hosts := range []int{5, 28, 103} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			t := &Table{Host: 1, Hosts: func() int { return hosts }}
			for server := range 4 {
				id := fmt.Sprint("desk-", server)
				t.Observe(id, named(2, tableStart))
				for host := range hosts - 1 {
					t.Apply(uint64(host+2), Statement{Server: id, CountedSince: tableStart, Sent: 3}, tableStart)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				t.Held(tableStart.AddMillis(500))
			}
		})
	}
}
