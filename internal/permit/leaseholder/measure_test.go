package leaseholder

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

var measure = flag.Bool("measure", false, "measure load and latency in virtual time")

const (
	measureHosts   = 8
	measureSeconds = 60
	// logMillis is the duration of a call to the log.
	logMillis = 5
	// linkDelay is the one-way delay between two entry hosts.
	linkDelay = 500 * time.Microsecond
)

// load is the configuration of one measurement. Rate is in claims per second.
type load struct{ Rate, Partitions, BatchMillis int }

// change returns the function that configures a host for the measurement. cl is
// dereferenced only when a host dials another one, since the cluster does not exist
// yet when change is called.
func (l load) change(cl **cluster) func(*Holder) {
	return func(h *Holder) {
		h.Partitions, h.BatchMillis = l.Partitions, l.BatchMillis
		h.Dial = func(ctx context.Context, address string) (Client, error) {
			c, err := (*cl).dial(ctx, address)
			return slowLink{c}, err
		}
	}
}

// slowLink adds the network latency to another availability zone.
type slowLink struct{ Client }

func (s slowLink) Claim(ctx context.Context, r *message.ClaimRequest) (*message.ClaimReply, error) {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	return s.Client.Claim(ctx, r)
}

// claimOf returns claim n, with names of realistic length.
func claimOf(n int, now time.Time) *message.ClaimRequest {
	r := request(testKey(now, n), "0193b3f0-7c1e-7a8e-9f52-7d1d0a7d4c13")
	r.Backend, r.Incarnation = "coach-7.zone-b", 1<<63
	return r
}

// sample sends claims at exponentially distributed intervals and returns their
// latencies in ascending order.
func (cl *cluster) sample(t *testing.T, l load) []time.Duration {
	var mu sync.Mutex
	var latencies []time.Duration
	var group errgroup.Group
	random := newRandomSource(1, 1)
	for n := range l.Rate * measureSeconds {
		time.Sleep(time.Duration(random.rnd.ExpFloat64() * float64(time.Second) / float64(l.Rate)))
		host := cl.host(random.below(measureHosts))
		group.Go(func() error {
			begin := time.Now()
			reply, err := host.Claim(t.Context(), claimOf(n, begin))
			if err != nil || codeOf(reply) != CodeBound {
				t.Errorf("claim %d: %v %v", n, reply, err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(begin))
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(latencies)
	return latencies
}

// total returns the sums of the counters of all hosts.
func (cl *cluster) total() (c Counts) {
	for i := range cl.hosts {
		for _, s := range cl.host(i).Status() {
			c.Appends += s.Counts.Appends
			c.AppendedBytes += s.Counts.AppendedBytes
			c.Leases += s.Counts.Leases
			c.Reads += s.Counts.Reads
			c.ReadBytes += s.Counts.ReadBytes
		}
	}
	return c
}

// TestMeasureLoad measures log traffic and latencies for several batch delays,
// numbers of partitions and claim rates.
func TestMeasureLoad(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, batch := range []int{25, 100, 200} {
		for _, partitions := range []int{16, 64, 128} {
			for _, rate := range []int{50, 250, 500} {
				l := load{Rate: rate, Partitions: partitions, BatchMillis: batch}
				synctest.Test(t, func(t *testing.T) {
					var cl *cluster
					cl = newCluster(t.Context(), 1, measureHosts, 0, l.change(&cl))
					cl.store.Faults.SlowMillis.Store(logMillis)
					latencies := cl.sample(t, l)
					c := cl.total()
					at := func(percent int) time.Duration {
						return latencies[len(latencies)*percent/100].Round(100 * time.Microsecond)
					}
					t.Logf("%+v: %d appends/s, %d reads/s, %d log B/claim, p50 %v, p95 %v, p99 %v, max %v",
						l, c.Appends/measureSeconds, c.Reads/measureSeconds, c.AppendedBytes/uint64(len(latencies)),
						at(50), at(95), at(99), latencies[len(latencies)-1])
					cl.stop()
				})
			}
		}
	}
}

// TestMeasureOutage measures the results and latencies of claims before, during and
// after an outage of the log, and after a host was killed.
func TestMeasureOutage(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	const outage, rate = 60 * time.Second, 250
	synctest.Test(t, func(t *testing.T) {
		var cl *cluster
		cl = newCluster(t.Context(), 1, measureHosts, 0, load{Partitions: 64}.change(&cl))
		cl.store.Faults.SlowMillis.Store(logMillis)
		var mu sync.Mutex
		codes := map[string]map[Code]int{}
		last, slowest := map[string]time.Duration{}, map[string]time.Duration{}
		phase, since := "before", time.Now()
		var group errgroup.Group
		send := func(n int) {
			name, from, begin, host := phase, since, time.Now(), cl.host(1+n%(measureHosts-1))
			group.Go(func() error {
				reply, err := host.Claim(t.Context(), claimOf(n, begin))
				mu.Lock()
				defer mu.Unlock()
				if codes[name] == nil {
					codes[name] = map[Code]int{}
				}
				codes[name][codeOf(reply)]++
				slowest[name] = max(slowest[name], time.Since(begin))
				if codeOf(reply) != CodeBound {
					last[name] = time.Since(from)
				}
				return err
			})
		}
		run := func(name string, duration time.Duration) {
			phase, since = name, time.Now()
			for n := 0; time.Since(since) < duration; n++ {
				send(int(time.Now().UnixMilli() % 10_000_000))
				time.Sleep(time.Second / rate)
			}
		}
		run("before", 20*time.Second)
		cl.store.Faults.Down.Store(true)
		run("outage", outage)
		cl.store.Faults.Down.Store(false)
		run("after", 20*time.Second)
		cl.kill(0)
		run("host dead", 20*time.Second)
		_ = group.Wait()
		for _, name := range []string{"before", "outage", "after", "host dead"} {
			t.Logf("%s: %v, slowest reply %v, last refusal after %v", name, codes[name], slowest[name], last[name])
		}
		cl.stop()
	})
}

// TestMeasureTakeover measures how long a host takes to read a partition with many
// claims and to issue its first permit.
func TestMeasureTakeover(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, claims := range []int{1000, 28_000} {
		synctest.Test(t, func(t *testing.T) {
			var cl *cluster
			cl = newCluster(t.Context(), 1, 2, 0, load{Partitions: 1}.change(&cl))
			stream := claim.StreamOf(0)
			lease, _ := claim.Encode(claim.Lease{Holder: "host-9", HolderAddress: "host-9", Epoch: "e"})
			for n := range claims {
				if n%(claims/20) == 0 {
					_, _ = cl.store.Append(t.Context(), stream, lease)
				}
				r := claimOf(n, time.Now())
				c := claim.Claim{Key: r.GetKey(), RequestID: r.GetRequestId(), Backend: r.GetBackend(), Incarnation: r.GetIncarnation()}
				b := claim.Batch{Epoch: "e", ID: "9f527d1d0a7d4c12", Claims: []claim.Claim{c}}
				data, _ := claim.Encode(b)
				_, _ = cl.store.Append(t.Context(), stream, data)
			}
			cl.store.Faults.SlowMillis.Store(logMillis)
			begin := time.Now()
			reply := mustClaim(t, cl.host(0), claimOf(claims, begin))
			c := cl.total()
			t.Logf("%d claims, a batch each: %v to the first permit (%v), %d reads, %d bytes read, %d appends",
				claims, time.Since(begin), Code(reply.GetCode()), c.Reads, c.ReadBytes, c.Appends)
			cl.stop()
		})
	}
}

// TestMeasureControlBytes computes the network traffic of claims from the size of
// the messages.
func TestMeasureControlBytes(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	// logBytes is the size of a claim in the log at this rate, as reported by
	// TestMeasureLoad.
	const hosts, rate, partitions, logBytes = 360, 500, 64, 195
	r := claimOf(1, time.Now())
	r.Partition = 40
	reply := boundReply(claim.Binding{Key: r.GetKey(), RequestID: r.GetRequestId(), Backend: r.GetBackend(), Incarnation: r.GetIncarnation(), Offset: 1 << 20, Partition: 40})
	wire := proto.Size(r) + proto.Size(reply)
	var each []string
	requested := float64(rate) / hosts * float64(wire)
	held := float64(rate) / partitions * float64(wire+2*logBytes)
	each = append(each, fmt.Sprintf("request %d, reply %d bytes", proto.Size(r), proto.Size(reply)))
	each = append(each, fmt.Sprintf("requester %.0f B/s", requested), fmt.Sprintf("holder of one partition %.0f B/s more", held))
	t.Log(strings.Join(each, "; "))
}
