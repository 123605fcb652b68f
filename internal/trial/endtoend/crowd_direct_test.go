package endtoend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// crowdedMegabytes is the memory of the crowded entry host: half of that of a small one.
	crowdedMegabytes = 64
	// crowdedBodyBytes is the limit of a body in the configuration.
	crowdedBodyBytes = 4 << 20
	// crowdBodies is the number of large bodies at once: half as much again as fits into the memory.
	crowdBodies = 24
	// leastMegabytes is the least memory that the settings allow, and crowdHeads the number of
	// connections at once at such a host, with crowdHeadBytes of a head each.
	leastMegabytes = 32
	crowdHeads     = 1500
	crowdHeadBytes = 14 << 10
	// crowdedDescriptors is the number of descriptors that the crowded process may open, and
	// crowdConnections the number of connections at once.
	crowdedDescriptors = 256
	crowdConnections   = 400
	// crowdQueued is the number of connections at once that are not accepted. The usual queue of the system holds them.
	crowdQueued = 3000
	// crowdRunMillis is the time for which servers run the requests of a crowd that waits for them.
	crowdRunMillis = 1500
	// crowdExtraBytes is what a member sends after its request.
	crowdExtraBytes = 1 << 20
)

// newCrowdedEntry starts an entry host of the direct path with few resources, without the race detector. Zero
// descriptors set no limit.
func newCrowdedEntry(t *testing.T, megabytes, descriptors int) *crowded {
	t.Helper()
	c, _ := newCrowdedSite(t, megabytes, descriptors)
	return c
}

// newCrowdedSite is newCrowdedEntry, and returns the deployment too.
func newCrowdedSite(t *testing.T, megabytes, descriptors int) (*crowded, *platformSite) {
	t.Helper()
	binary, err := unraced()
	if err != nil {
		t.Fatal(err)
	}
	s := newAdjustedSite(t, 0, 2, func(settings *process.DirectEntry) { settings.MemoryMegabytes = megabytes })
	s.entry.kill()
	s.entry.binary, s.entry.descriptors = binary, descriptors
	s.entry.start()
	eventually(t, "entry host ready", s.ready)
	return &crowded{
		t:               t,
		process:         s.entry,
		address:         s.settings.CallerAddress,
		memoryMegabytes: megabytes,
		head: func(id string) string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nFulmarvalve-Request-Id: %s\r\nFulmarvalve-Deadline-Ms: 8000\r\n",
				plainPath+"x", platformHost, platformKey, id)
		},
		body:      func(_ string, bytes int) string { return strings.Repeat("b", bytes) },
		bodyBytes: crowdedBodyBytes,
		reached: func(id string) bool {
			for _, a := range s.arrivals() {
				if a.Header.Get("Fulmarvalve-Request-Id") == id {
					return true
				}
			}
			return false
		},
	}, s
}

// TestCrowdOfRunningBodies guards against an entry host that exhausts its memory by bodies that came whole and
// wait for their servers.
func TestCrowdOfRunningBodies(t *testing.T) {
	c, s := newCrowdedSite(t, crowdedMegabytes, 0)
	whole := crowdShapes()[0]
	c.answers("calm", whole, c.bodyBytes)
	s.setPlainFaults(replica.Faults{RunMillis: crowdRunMillis})
	body := c.body("", c.bodyBytes)
	c.check(crowdBodies, func(n int, conn net.Conn) {
		_, _ = io.WriteString(conn, c.head(crowdID(n))+whole.headers(len(body))+"\r\n"+body)
	})
	is.New(t).True(c.answered.Load() > 0) // a whole request gives way to no other
}

// TestCrowdOfExtraBytes guards against an entry host that exhausts its memory by what callers send after
// requests that are being run, read or not.
func TestCrowdOfExtraBytes(t *testing.T) {
	c, s := newCrowdedSite(t, leastMegabytes, 0)
	c.answers("calm", crowdShapes()[0], c.bodyBytes)
	s.setPlainFaults(replica.Faults{RunMillis: crowdRunMillis})
	extra := strings.Repeat("x", crowdExtraBytes)
	c.check(crowdConnections, func(n int, conn net.Conn) {
		_ = conn.SetWriteDeadline(time.Now().Add(crowdRunMillis / 2 * time.Millisecond))
		_, _ = io.WriteString(conn, c.head(crowdID(n))+"Content-Length: 2\r\n\r\n{}"+extra)
	})
}

// TestCrowdOfBodies guards against an entry host that exhausts its memory, or answers no ordinary caller, as
// many callers send large bodies at once and most stop short of their end.
func TestCrowdOfBodies(t *testing.T) {
	checkCrowdsOfBodies(t, crowdBodies, func(t *testing.T) *crowded { return newCrowdedEntry(t, crowdedMegabytes, 0) })
}

// TestCrowdOfSingleBytes guards against an entry host whose processor is taken by bodies that come byte by byte.
func TestCrowdOfSingleBytes(t *testing.T) {
	// The processor of the smallest entry host is far slower than one of these; a host that reads each byte by
	// itself takes several of them.
	const drippers, settleMillis, measuredMillis, pauseMicros, drippedBytes, maxCores = 400, 1000, 2000, 500, 48 << 10, 0.8
	c := newCrowdedEntry(t, smallestHostMegabytes, 0)
	var cores float64
	stopped := make(chan struct{})
	c.check(drippers, func(n int, conn net.Conn) {
		if n == 0 {
			time.Sleep(settleMillis * time.Millisecond)
			before := processorSeconds(t, c.process.command.Process.Pid)
			time.Sleep(measuredMillis * time.Millisecond)
			cores = (processorSeconds(t, c.process.command.Process.Pid) - before) * 1000 / measuredMillis
			close(stopped)
			return
		}
		head := c.head(crowdID(n)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", drippedBytes)
		_, err := io.WriteString(conn, head)
		for err == nil {
			select {
			case <-stopped:
				return
			case <-time.After(pauseMicros * time.Microsecond):
				_, err = io.WriteString(conn, "x")
			}
		}
	})
	t.Logf("%.2f processors", cores)
	is.New(t).True(cores < maxCores)
}

// TestCrowdOfConnections guards against an entry host that exhausts its memory or its descriptors as many
// callers keep connections open: without a request, with the beginning of a head, or after a request.
func TestCrowdOfConnections(t *testing.T) {
	for _, kind := range []struct {
		name string
		send func(c *crowded) func(n int, conn net.Conn)
	}{
		{"stalled heads", func(c *crowded) func(int, net.Conn) { return c.sendHead(crowdHeadBytes) }},
		{"idle after a request", func(c *crowded) func(int, net.Conn) { return c.sendThenIdle(crowdHeadBytes) }},
		{"idle without a request", func(*crowded) func(int, net.Conn) { return stay }},
	} {
		t.Run("memory, "+kind.name, func(t *testing.T) {
			c := newCrowdedEntry(t, leastMegabytes, 0)
			c.answers("calm", crowdShapes()[0], c.bodyBytes)
			c.check(crowdHeads, kind.send(c))
		})
		t.Run("descriptors, "+kind.name, func(t *testing.T) {
			c := newCrowdedEntry(t, crowdedMegabytes, crowdedDescriptors)
			c.answers("calm", crowdShapes()[0], c.bodyBytes)
			c.check(crowdConnections, kind.send(c))
		})
	}
}

// TestCrowdOfQueuedConnections guards against an entry host that exhausts its memory by what callers send on connections
// that it has not accepted, as it stands still.
func TestCrowdOfQueuedConnections(t *testing.T) {
	c := newCrowdedEntry(t, leastMegabytes, 0)
	c.answers("calm", crowdShapes()[0], c.bodyBytes)
	c.checkBeside(func() (leave func()) { return c.joinFrozen(crowdQueued, c.sendHead(crowdHeadBytes)) })
}
