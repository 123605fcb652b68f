package endtoend

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

const (
	// smallestEntryMegabytes is the memory of a small entry host, in which that of the older roles must do.
	smallestEntryMegabytes = 134
	// ownerBodyBytes is the largest limit of a body that the settings of the older roles allow.
	ownerBodyBytes = 3 << 20
	// ownerBodies is the number of large bodies at once: a third more than fits into the memory.
	ownerBodies = 60
	// ownerHeads is the number of stalled heads at once, of ownerHeadBytes each.
	ownerHeads     = 250
	ownerHeadBytes = 900 << 10
)

// newCrowdedOwnerEntry starts an entry host of the path through owners, without the race detector.
func newCrowdedOwnerEntry(t *testing.T, descriptors int) *crowded {
	t.Helper()
	binary, err := unraced()
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t, 0)
	r.entry.kill()
	settings := r.entry.settings
	settings.MaxBodyBytes = ownerBodyBytes
	r.writeSettings(settings.Name, settings)
	r.entry.binary, r.entry.descriptors = binary, descriptors
	r.entry.start()
	r.waitReady()
	return &crowded{
		t:               t,
		process:         r.entry.program,
		address:         settings.CallerAddress,
		memoryMegabytes: smallestEntryMegabytes,
		head: func(id string) string {
			return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nFulmarvalve-Account: %s\r\nFulmarvalve-Class: class-1\r\nName: %s\r\n",
				accountName(0), id)
		},
		body:      promptBody,
		bodyBytes: ownerBodyBytes,
		reached: func(id string) bool {
			_, reached := r.engine.prompts.Load("tokens=1 " + id)
			return reached
		},
	}
}

// promptBody returns the body of a request for one token, of the given size.
func promptBody(id string, bytes int) string {
	const end = `"}`
	beginning := fmt.Sprintf(`{"max_tokens": 1, "prompt": "tokens=1 %s|`, id)
	return beginning + strings.Repeat("b", bytes-len(beginning)-len(end)) + end
}

// TestOwnerCrowdOfBodies is TestCrowdOfBodies for the path through owners.
func TestOwnerCrowdOfBodies(t *testing.T) {
	checkCrowdsOfBodies(t, ownerBodies, func(t *testing.T) *crowded { return newCrowdedOwnerEntry(t, 0) })
}

// TestOwnerCrowdOfConnections is TestCrowdOfConnections for the path through owners.
func TestOwnerCrowdOfConnections(t *testing.T) {
	for _, kind := range []struct {
		name        string
		members     int
		descriptors int
		send        func(c *crowded) func(n int, conn net.Conn)
	}{
		{"stalled heads", ownerHeads, 0, func(c *crowded) func(int, net.Conn) { return c.sendHead(ownerHeadBytes) }},
		{"descriptors, stalled heads", crowdConnections, crowdedDescriptors, func(c *crowded) func(int, net.Conn) { return c.sendHead(1 << 10) }},
		{"descriptors, idle without a request", crowdConnections, crowdedDescriptors, func(*crowded) func(int, net.Conn) { return stay }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c := newCrowdedOwnerEntry(t, kind.descriptors)
			c.answers("calm", crowdShapes()[0], c.bodyBytes)
			c.check(kind.members, kind.send(c))
		})
	}
}
