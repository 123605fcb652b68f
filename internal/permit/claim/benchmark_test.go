package claim

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkBatch returns a batch of size claims. Batches with different numbers have
// no key in common.
func benchmarkBatch(at time.Time, number, size int) Batch {
	b := Batch{Epoch: "9f527d1d0a7d4c11", ID: "9f527d1d0a7d4c12"}
	key := testKey(at, 0)[:keyLength/3]
	for i := range size {
		b.Claims = append(b.Claims, Claim{
			Key:         fmt.Sprintf("%s%016x", key, number*size+i),
			RequestID:   "0193b3f0-7c1e-7a8e-9f52-7d1d0a7d4c13",
			Backend:     "coach-7.zone-b",
			Incarnation: 1<<63 + uint64(i),
		})
	}
	return b
}

// BenchmarkDecodeAndApply decodes and applies encoded batches, as a reader of the
// stream does.
func BenchmarkDecodeAndApply(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			const window = 3600
			s := NewState(0, window, 1)
			now := testTime
			s.Apply(1, now, Lease{Epoch: benchmarkBatch(now, 0, 0).Epoch})
			var records [][]byte
			for i := range 1000 {
				data, err := Encode(benchmarkBatch(now, i, size))
				if err != nil {
					b.Fatal(err)
				}
				records = append(records, data)
			}
			b.ReportAllocs()
			b.ResetTimer()
			bound := 0
			for i := range b.N {
				if i%1000 == 0 {
					s = NewState(0, window, 1)
					s.Apply(1, now, Lease{Epoch: benchmarkBatch(now, 0, 0).Epoch})
				}
				v, ok := s.Apply(s.Next(), now, Decode(records[i%1000])).(Accepted)
				if !ok || v.Bound != size {
					b.Fatalf("verdict %v", v)
				}
				bound += v.Bound
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(bound), "ns/claim")
			b.ReportMetric(float64(len(records[0]))/float64(size), "log-B/claim")
		})
	}
}

// BenchmarkApply applies decoded batches of one claim each.
func BenchmarkApply(b *testing.B) {
	var batches []Batch
	for i := range 1000 {
		batches = append(batches, benchmarkBatch(testTime, i, 1))
	}
	var s *State
	b.ReportAllocs()
	for i := range b.N {
		if i%1000 == 0 {
			s = NewState(0, 3600, 1)
			s.Apply(1, testTime, Lease{Epoch: batches[0].Epoch})
		}
		s.Apply(s.Next(), testTime, batches[i%1000])
	}
}
