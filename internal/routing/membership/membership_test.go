package membership

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func backend(name string) Host {
	return Host{Name: name, Role: RoleBackend, PeerAddress: "10.0.0.1:" + name, Model: "draft", State: StateLive}
}

func load(name string, incarnation uint64) *message.Load {
	return &message.Load{Backend: name, Incarnation: incarnation, Running: 3}
}

func eligible(table *Table, name string, now time.Time) bool {
	m, ok := table.Snapshot().Find(name)
	return ok && m.Eligible(now)
}

// TestRefusalOverridesList checks that an incarnation that has reported that it is
// draining stays ineligible although the host list shows it as live, until a newer
// incarnation replies.
func TestRefusalOverridesList(t *testing.T) {
	is := is.New(t)
	var table Table
	is.NoErr(table.ApplyList([]Host{backend("1")}, at(0)))
	is.NoErr(table.Observe(load("1", 7), at(0), at(1)))
	is.NoErr(table.ObserveReply(Reply{Host: "1", Incarnation: 7, RequestedAt: at(1), SeenAt: at(2), Leaving: true}))
	is.NoErr(table.ApplyList([]Host{backend("1")}, at(3)))
	is.NoErr(table.Observe(load("1", 7), at(3), at(4)))
	is.True(!eligible(&table, "1", at(5))) // a draining incarnation stays ineligible
	is.True(errors.Is(table.Observe(load("1", 8), at(3), at(5)), ErrStale))
	is.NoErr(table.Observe(load("1", 8), at(5), at(6)))
	is.True(eligible(&table, "1", at(6)))
	is.True(errors.Is(table.Observe(load("1", 7), at(7), at(8)), ErrStale)) // a former incarnation never comes back
}

func TestLeavingStateOfListIsReversible(t *testing.T) {
	is := is.New(t)
	var table Table
	leaving := backend("1")
	leaving.State = StateLeaving
	is.NoErr(table.ApplyList([]Host{leaving}, at(0)))
	is.NoErr(table.Observe(load("1", 7), at(0), at(1)))
	is.True(!eligible(&table, "1", at(1)))
	is.NoErr(table.ApplyList([]Host{backend("1")}, at(2)))
	is.True(eligible(&table, "1", at(2)))
}

func TestUnlistedMembers(t *testing.T) {
	is := is.New(t)
	var table Table
	is.NoErr(table.ApplyList([]Host{backend("1"), backend("2"), backend("3")}, at(0)))
	is.NoErr(table.ObserveReply(Reply{Host: "2", Incarnation: 7, RequestedAt: at(0), SeenAt: at(1), Leaving: true}))
	others := []Host{backend("3")}
	is.NoErr(table.ApplyList(others, at(10)))
	is.NoErr(table.Observe(load("1", 7), at(34), at(35)))
	is.Equal(table.Snapshot().Len(), 3) // within the grace period
	is.NoErr(table.ApplyList(others, at(41)))
	_, ok := table.Snapshot().Find("2")
	is.True(!ok) // no reply within the grace period
	_, ok = table.Snapshot().Find("1")
	is.True(ok) // replied within the grace period
	is.True(errors.Is(table.Observe(load("2", 7), at(42), at(43)), ErrUnknownHost))
	// A lagging host list restores the member, but it stays ineligible.
	is.NoErr(table.ApplyList([]Host{backend("2"), backend("3")}, at(44)))
	is.True(!eligible(&table, "2", at(44)))
}

func TestEmptyListDropsNoMember(t *testing.T) {
	is := is.New(t)
	var table Table
	is.NoErr(table.ApplyList([]Host{backend("1"), backend("2")}, at(0)))
	is.NoErr(table.ApplyList([]Host{backend("1")}, at(1)))
	is.True(errors.Is(table.ApplyList(nil, at(9000)), ErrEmptyList))
	is.True(errors.Is(table.ApplyList([]Host{{Name: "x"}}, at(9000)), ErrEmptyList))
	is.True(eligible(&table, "1", at(9000)))
	is.True(eligible(&table, "2", at(9000)))
}

func TestSuspectAfterFailedDials(t *testing.T) {
	is := is.New(t)
	var table Table
	is.NoErr(table.ApplyList([]Host{backend("1")}, at(0)))
	now := at(0)
	for _, want := range []time.Duration{suspectFirst, 2 * suspectFirst, 4 * suspectFirst} {
		is.NoErr(table.DialFailed("1", now))
		is.NoErr(table.DialFailed("1", now)) // counts once
		is.True(!eligible(&table, "1", now.Add(want-1)))
		now = now.Add(want)
		is.True(eligible(&table, "1", now))
	}
	for range 10 {
		is.NoErr(table.DialFailed("1", now))
		m, _ := table.Snapshot().Find("1")
		is.True(m.SuspectUntil.Sub(now) <= suspectMax)
		now = m.SuspectUntil
	}
	is.NoErr(table.DialFailed("1", now))
	is.NoErr(table.Observe(load("1", 7), now, now))
	is.True(eligible(&table, "1", now))
	is.True(errors.Is(table.DialFailed("9", now), ErrUnknownHost))
}

func TestSnapshotIsImmutable(t *testing.T) {
	is := is.New(t)
	var table Table
	is.Equal(table.Snapshot().Len(), 0)
	service := Host{Name: "2", Role: RoleBackend, PeerAddress: "a:2", Service: "booking"}
	entry := Host{Name: "3", Role: RoleEntry, PeerAddress: "a:3"}
	is.NoErr(table.ApplyList([]Host{entry, service, backend("1")}, at(0)))
	before := table.Snapshot()
	is.True(before == table.Snapshot()) // the same snapshot while nothing changes
	is.NoErr(table.Observe(load("1", 7), at(0), at(1)))
	m, _ := before.Find("1")
	is.Equal(m.Incarnation, uint64(0))
	after := table.Snapshot()
	m, _ = after.Find("1")
	is.Equal(m.Load.Running, uint32(3))
	is.Equal(len(slices.Collect(after.Model("draft"))), 1)
	is.Equal(slices.Collect(after.Service("booking"))[0].Host, service)
	is.Equal(slices.Collect(after.EntryHosts())[0].Host, entry)
	age, seen := m.Age(at(3))
	is.True(seen)
	is.Equal(age, 2*time.Second)
}

// TestReadersSeeCompletedWrites checks that a snapshot that is taken after a write
// contains it, while another goroutine writes as well.
func TestReadersSeeCompletedWrites(t *testing.T) {
	is := is.New(t)
	var table Table
	is.NoErr(table.ApplyList([]Host{backend("1"), backend("2")}, at(0)))
	var group errgroup.Group
	for _, name := range []string{"1", "2"} {
		group.Go(func() error {
			for i := range 1000 {
				if err := table.Observe(load(name, 7), at(0), at(i)); err != nil {
					return err
				}
				if m, _ := table.Snapshot().Find(name); !m.SeenAt.Equal(at(i)) {
					return errors.Newf("host %s: seen at %s after a write at %s", name, m.SeenAt, at(i))
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
}

const benchBackends = 900

// benchSizes are numbers of hosts: a tenth of the target size, a third of it, and
// the target size.
var benchSizes = []int{126, 420, 1260}

func newFilledTable(b *testing.B, size int) *Table {
	var table Table
	if err := table.ApplyList(newHostList(size), start); err != nil {
		b.Fatal(err)
	}
	return &table
}

func newHostList(size int) []Host {
	var hosts []Host
	for i := range size {
		hosts = append(hosts, backend(strconv.Itoa(i)))
	}
	return hosts
}

func BenchmarkObserve(b *testing.B) {
	table := newFilledTable(b, benchBackends)
	l := load("100", 7)
	b.ReportAllocs()
	for b.Loop() {
		_ = table.Observe(l, start, start)
	}
}

func BenchmarkSnapshotUnchanged(b *testing.B) {
	table := newFilledTable(b, benchBackends)
	b.ReportAllocs()
	for b.Loop() {
		table.Snapshot()
	}
}

func BenchmarkObserveAndSnapshot(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			table := newFilledTable(b, size)
			l := load("100", 7)
			b.ReportAllocs()
			for b.Loop() {
				_ = table.Observe(l, start, start)
				table.Snapshot()
			}
		})
	}
}

func BenchmarkApplyList(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			table := newFilledTable(b, size)
			hosts := newHostList(size)
			b.ReportAllocs()
			for b.Loop() {
				_ = table.ApplyList(hosts, start)
			}
		})
	}
}
