package endtoend

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/permit/leaseholder"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/records/metrics"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/membership"
)

// memoryCase measures a component that keeps state in memory.
type memoryCase struct {
	name  string
	sizes []int
	// fill returns the component with count items.
	fill func(count int) any
}

// measureState measures the memory that each component uses per item.
func measureState(t *testing.T) {
	for _, c := range []memoryCase{
		{"client account and class in the metrics of an entry host", []int{64, 256, 1024}, fillMetrics},
		{"client account and class in the metrics of a backend process", []int{64, 256, 1024}, fillStalls},
		{"decision record of a choice among 4", []int{1024, 4096, 16384}, fillRoutedRecords},
		{"decision record of an admission", []int{1024, 4096, 16384}, fillAdmittedRecords},
		{"listed host", []int{100, 400, 1260}, fillMembership},
		{"request identity", []int{1000, 10_000, 40_000}, fillIdentities},
		{"answer of 235 tokens", []int{250, 1000, 4000}, fillAnswers},
		{"bound key", []int{1000, 7000, 28_000}, fillBindings},
	} {
		var counts, bytes []float64
		for _, size := range c.sizes {
			live := liveBytes(func() any { return c.fill(size) })
			counts, bytes = append(counts, float64(size)), append(bytes, live)
			t.Logf("%s: %d items take %.0f KB", c.name, size, live/1024)
		}
		each, _ := slope(counts, bytes)
		t.Logf("%s: %.0f B per item", c.name, each)
	}
}

// liveBytes returns the heap bytes that are in use for the value that fill
// returns.
func liveBytes(fill func() any) float64 {
	before := heapInUse()
	kept := fill()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func fillMetrics(count int) any {
	m := &metrics.Registry{MaxSeries: count}
	for n := range count {
		s := m.Series(fmt.Sprint("account ", n), "class")
		s.FirstToken(time.Millisecond)
		s.BetweenTokens(time.Millisecond)
	}
	return m
}

// fillStalls returns a registry with one stall per series, as the process beside a
// backend server keeps it.
func fillStalls(count int) any {
	m := &metrics.Registry{MaxSeries: count}
	for n := range count {
		m.Series(fmt.Sprint("account ", n), "class").Stall(time.Millisecond)
	}
	return m
}

func fillRoutedRecords(count int) any {
	ring := &explanation.Ring{Capacity: count}
	for n := range count {
		routed := explanation.Routed{Backend: fmt.Sprint("backend-", n), Reason: "LeastLoad"}
		for c := range 4 {
			routed.Candidates = append(routed.Candidates, explanation.Candidate{
				Backend: fmt.Sprintf("backend-%04d", c), AvailabilityZone: fmt.Sprintf("zone-%d", c), SeenAt: time.Now(),
			})
		}
		ring.Add(explanation.Record{
			Time: time.Now(), Process: "entry-17", Part: "visit", RequestID: requestID(n), Decision: routed,
		})
	}
	return ring
}

func fillAdmittedRecords(count int) any {
	ring := &explanation.Ring{Capacity: count}
	for n := range count {
		ring.Add(explanation.Record{
			Time: time.Now(), Process: "backend-17", Part: "keeper", RequestID: requestID(n),
			Decision: explanation.Admitted{Reason: "memory and batch have room"},
		})
	}
	return ring
}

func requestID(n int) string {
	return fmt.Sprintf("01a23daa-9c08-7c07-a3e9-%012d", n)
}

func fillMembership(count int) any {
	table := &membership.Table{}
	var hosts []membership.Host
	for _, h := range newSimulatedFleet(count, 1).hosts {
		hosts = append(hosts, membership.Host{
			Name: h.Name, Role: membership.Role(h.Role), Region: h.Region, AvailabilityZone: h.Zone,
			PeerAddress: h.PeerAddress, Model: h.Model, Service: h.Service, State: membership.HostState(h.State),
		})
	}
	if err := table.ApplyList(hosts, time.Now()); err != nil {
		panic(err)
	}
	table.Snapshot()
	return table
}

func fillIdentities(count int) any {
	return fillReplayBuffer(count, 0)
}

func fillAnswers(count int) any {
	return fillReplayBuffer(count, answerTokens)
}

// fillReplayBuffer returns a replay buffer with count finished answers of the given
// number of tokens.
func fillReplayBuffer(count, tokens int) any {
	buffer := &replay.Buffer{Backend: "backend-17", Incarnation: 1, MaxBytes: 1 << 40}
	later := time.Now().Add(time.Hour)
	for n := range count {
		id := requestID(n)
		if _, _, err := buffer.Start(id, later); err != nil {
			panic(err)
		}
		for position := range tokens {
			text := strings.Clone(" token")
			if err := buffer.Append(id, uint64(position), []string{text}); err != nil {
				panic(err)
			}
		}
		if err := buffer.Finish(id, 1, "", later); err != nil {
			panic(err)
		}
	}
	return buffer
}

// fillBindings returns the state of a partition in which count keys are bound.
func fillBindings(count int) any {
	now := time.Now()
	state := claim.NewState(0, leaseholder.DefaultKeyWindowSeconds, 1)
	state.Apply(state.Next(), now, claim.Lease{Epoch: "9f527d1d0a7d4c11"})
	for range count {
		key, err := claim.KeyOf("account-017", uuid.Must(uuid.NewV7()).String())
		if err != nil {
			panic(err)
		}
		bound := claim.Claim{
			Key: key, RequestID: uuid.NewString(), Backend: strings.Clone("backend-0017"), Incarnation: 1,
		}
		verdict := state.Apply(state.Next(), now, claim.Batch{Epoch: "9f527d1d0a7d4c11", Claims: []claim.Claim{bound}})
		if counted, ok := verdict.(claim.Accepted); !ok || counted.Bound != 1 {
			panic(verdict)
		}
	}
	return state
}
