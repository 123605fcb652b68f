package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// smallestHostMegabytes is the memory of the smallest entry host.
	smallestHostMegabytes = 112
	// partBytes is what a server sends of an event or a body at once: less than the bound of one event.
	partBytes = 1_040_000
	// endlessRequests is the number of requests that are open at servers without end at once.
	endlessRequests = 150
	// endlessEngines is the number of engines, with room for nearly as many streams.
	endlessEngines = 5
	endlessMillis  = 2000
)

// unraced returns the path of the program without the race detector, which multiplies the memory.
var unraced = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "fulmarvalve-unraced")
	return path, build(path, false)
})

// TestServersWithoutEnd guards against an entry host of the smallest size that exhausts its memory, or fails
// sound requests, as servers send bytes that are no answer, without end, to many requests at once.
func TestServersWithoutEnd(t *testing.T) {
	chunked := replica.AnswerHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name    string
		endless replica.Endless
	}{
		{"head line", replica.Endless{Beginning: "HTTP/1.1 200 OK\r\nName: ", Repeated: "x", AtOnceBytes: 60_000}},
		{"head lines", replica.Endless{Beginning: "HTTP/1.1 200 OK\r\n", Repeated: "a:b\r\n", AtOnceBytes: 60_000}},
		{"informational heads", replica.Endless{Repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", AtOnceBytes: 60_000}},
		{"event or body, slow", replica.Endless{Beginning: replica.AnswerHead + "\r\n", Repeated: "x", AtOnceBytes: partBytes}},
		{"event or body", replica.Endless{Beginning: replica.AnswerHead + "\r\n", Repeated: "x"}},
		{"small chunks", replica.Endless{Beginning: chunked, Repeated: "1\r\nx\r\n", AtOnceBytes: partBytes}},
		{"chunk extensions", replica.Endless{Beginning: chunked, Repeated: "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"}},
		{"trailer", replica.Endless{Beginning: chunked + "0\r\n", Repeated: "a:b\r\n", AtOnceBytes: partBytes}},
		{"large head, then a body", replica.Endless{Beginning: replica.AnswerHead + strings.Repeat("a:b\r\n", 10_000) + "\r\n", Repeated: "x", AtOnceBytes: partBytes}},
	} {
		for _, plain := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, plain %t", c.name, plain), func(t *testing.T) { testServersWithoutEnd(t, c.endless, plain) })
		}
	}
}

// newSmallestSite starts a deployment whose entry host has the memory of the smallest one, without the race
// detector.
func newSmallestSite(t *testing.T) *platformSite {
	t.Helper()
	program, err := unraced()
	if err != nil {
		t.Fatal(err)
	}
	s := newAdjustedSite(t, 1, 2, func(settings *process.DirectEntry) { settings.MemoryMegabytes = smallestHostMegabytes })
	s.entry.kill()
	s.entry.binary = program
	s.entry.start()
	eventually(t, "entry host ready", s.ready)
	return s
}

// TestBytesOneByOneTakeLittleTime guards against streams whose events never end, and whose bytes take whole
// processors as they come one by one.
func TestBytesOneByOneTakeLittleTime(t *testing.T) {
	is := is.New(t)
	// largestHostCores is the share of the processors that the largest entry host has.
	const streams, settleMillis, measuredMillis, largestHostCores = 24, 1500, 2000, 0.8
	s := newSmallestSite(t)
	s.crossRoutes()
	s.setPlainFaults(replica.Faults{Endless: &replica.Endless{Beginning: replica.AnswerHead + "\r\n", Repeated: "x", AtOnceBytes: partBytes / 2}})
	ctx, stop := context.WithCancel(context.Background())
	var open errgroup.Group
	for n := range streams {
		open.Go(func() error {
			s.send(ctx, streamRequest(fmt.Sprint("endless-", n), 2))
			return nil
		})
	}
	time.Sleep(settleMillis * time.Millisecond)
	before := processorSeconds(t, s.entry.command.Process.Pid)
	time.Sleep(measuredMillis * time.Millisecond)
	cores := (processorSeconds(t, s.entry.command.Process.Pid) - before) * 1000 / measuredMillis
	stop()
	is.NoErr(open.Wait())
	t.Logf("%.2f processors", cores)
	is.True(cores < largestHostCores)
}

// testServersWithoutEnd lets the plain services send without end, to streams or to answers that are read
// whole, and checks the requests at the engines.
func testServersWithoutEnd(t *testing.T, endless replica.Endless, plain bool) {
	is := is.New(t)
	s := newSmallestSite(t)
	affected := func(id string) callerRequest { return streamRequest(id, 2) }
	sound := func(id string) callerRequest {
		return callerRequest{method: http.MethodGet, target: plainPath + "1", id: id, key: platformKey}
	}
	if plain {
		affected, sound = sound, func(id string) callerRequest { return streamRequest(id, 20) }
	} else {
		s.crossRoutes()
	}
	s.setPlainFaults(replica.Faults{Endless: &endless})
	ctx, stop := context.WithTimeout(context.Background(), endlessMillis*time.Millisecond)
	defer stop()
	var open errgroup.Group
	for n := range endlessRequests {
		open.Go(func() error {
			for again := 0; ctx.Err() == nil; again++ {
				s.send(ctx, affected(fmt.Sprintf("endless-%d-%d", n, again)))
			}
			return nil
		})
	}
	most, answered := 0, 0
	for ctx.Err() == nil {
		got := s.send(context.Background(), sound(fmt.Sprint("sound-", answered)))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		answered++
		most = max(most, residentMegabytes(s.entry.command.Process.Pid))
	}
	is.NoErr(open.Wait())
	is.True(s.entry.running())
	t.Logf("at most %d MB, %d sound requests answered", most, answered)
	is.True(most <= smallestHostMegabytes)
}

// processorSeconds returns the processor time that a process has used.
func processorSeconds(t *testing.T, pid int) float64 {
	t.Helper()
	const (
		ticksPerSecond = 100
		userField      = 11 // fields after the name of the program
	)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[userField+1])
	return float64(user+system) / ticksPerSecond
}

// residentMegabytes returns the anonymous memory of a process that is in use.
func residentMegabytes(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}
