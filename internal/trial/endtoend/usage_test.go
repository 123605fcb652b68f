package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const (
	// ticksPerSecond is the unit in which the kernel reports processor time.
	ticksPerSecond = 100
	// userTimeField is the index of the user time in /proc/PID/stat, among the
	// fields after the process name. The system time follows it.
	userTimeField = 11
)

// usage holds the resources that a process has used up to a point in time.
type usage struct {
	at time.Time
	// cpu is the user and system time since the start of the process.
	cpu time.Duration
	// residentBytes is the resident memory of the process.
	residentBytes int64
	// traffic counts connections and bytes by kind of connection: Control, Platform
	// or Data, as package transport defines them.
	traffic map[string]transport.Counts
	// mallocs is the number of heap allocations since the start of the process.
	mallocs   uint64
	heapBytes uint64
}

// vars holds the measured part of the variables at /debug/vars.
type vars struct {
	FulmarvalveTraffic map[string]transport.Counts
	Memstats           struct {
		Mallocs   uint64
		HeapAlloc uint64
	} `json:"memstats"`
}

// usageRate holds the resources that a process used between two points in time, per
// second. Memory is that at the end.
type usageRate struct {
	seconds float64
	// cpuPercent is the processor time in percent of a core; 1 % is 10,000 µs per
	// second.
	cpuPercent    float64
	mallocs       float64
	residentBytes int64
	heapBytes     uint64
	// control, platform and data are the bytes sent and received, by kind of
	// connection.
	control  float64
	platform float64
	data     float64
	// controlCalls is the number of control connections.
	controlCalls float64
}

// readUsage reads the resources that a process has used. At the beginning of a
// measurement it reads the variables before the processor time, at the end after it, so
// that the processor time does not include serving them.
func (p *program) readUsage(metrics string, begin bool) usage {
	p.t.Helper()
	var u usage
	var v vars
	if begin {
		v = readVars(p.t, metrics)
	}
	u.at = time.Now()
	u.cpu = processorTime(p.t, p.command.Process.Pid)
	u.residentBytes = residentBytes(p.t, p.command.Process.Pid)
	if !begin {
		v = readVars(p.t, metrics)
	}
	u.traffic = v.FulmarvalveTraffic
	u.mallocs, u.heapBytes = v.Memstats.Mallocs, v.Memstats.HeapAlloc
	return u
}

// since returns the usage per second since begin.
func (u usage) since(begin usage) usageRate {
	seconds := u.at.Sub(begin.at).Seconds()
	bytes := func(kind string) float64 {
		now, then := u.traffic[kind], begin.traffic[kind]
		return float64(now.SentBytes+now.ReceivedBytes-then.SentBytes-then.ReceivedBytes) / seconds
	}
	calls := u.traffic["Control"].Connections - begin.traffic["Control"].Connections
	return usageRate{
		seconds:       seconds,
		cpuPercent:    100 * (u.cpu - begin.cpu).Seconds() / seconds,
		mallocs:       float64(u.mallocs-begin.mallocs) / seconds,
		residentBytes: u.residentBytes,
		heapBytes:     u.heapBytes,
		control:       bytes("Control"),
		platform:      bytes("Platform"),
		data:          bytes("Data"),
		controlCalls:  float64(calls) / seconds,
	}
}

// processorTime returns the user and system time of a process.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	var ticks int64
	for _, field := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// readVars returns the variables that a process publishes at /debug/vars.
func readVars(t *testing.T, address string) vars {
	t.Helper()
	var v vars
	if err := getVars(address, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

func getVars(address string, into *vars) error {
	ctx, stop := context.WithDeadline(context.Background(), waitDeadline())
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "read variables")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode variables")
}

// slope returns the slope and the intercept of the least-squares line through the points.
func slope(x, y []float64) (perUnit, atZero float64) {
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	n := float64(len(x))
	perUnit = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return perUnit, (sumY - perUnit*sumX) / n
}
