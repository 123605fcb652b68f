package endtoend

import (
	"flag"
	"testing"
	"time"
)

var (
	slopes     = flag.Bool("slopes", false, "measure the cost of each role, without the race detector; takes minutes")
	processors = flag.Int("processors", 0, "processors that each process under test may use; 0 means all")
)

const (
	// answerTokens is the mean length of an answer in the capacity target: 1.2
	// million tokens per second in 5,100 requests per second.
	answerTokens = 235
	// tokenIntervalMillis is the time between two tokens of a generation.
	tokenIntervalMillis = 70
	// settleSeconds is the warm-up time before a measurement.
	settleSeconds = 4
	// relaySeconds is the length of a measurement under load.
	relaySeconds = 8
	// idleSeconds is the length of a measurement without load.
	idleSeconds = 20
)

// TestSlopes measures the resources that one process of each role needs as its load
// grows. docs/CAPACITY.md computes the resources for the capacity target from the
// slopes.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("needs -slopes")
	}
	t.Run("Direct", measureDirect)
	t.Run("Tokens", func(t *testing.T) { measureTokens(t, false) })
	t.Run("TokensApart", func(t *testing.T) { measureTokens(t, true) })
	t.Run("Requests", measureRequests)
	t.Run("OpenStreams", measureOpenStreams)
	t.Run("HeldTokens", measureHeldTokens)
	t.Run("State", measureState)
	t.Run("Calls", measureCalls)
	t.Run("Fleet", measureFleet)
}

// measurement holds the results of one measurement of a rig under load, per second.
type measurement struct {
	tokens, requests float64
	entry, backend   usageRate
}

// measure waits for the warm-up and then measures both processes for the given time.
func (g *loadGenerator) measure(seconds int) measurement {
	time.Sleep(settleSeconds * time.Second)
	entry, backend := g.rig.entry, g.rig.backend
	entryBegin := entry.readUsage(entry.settings.MetricsAddress, true)
	backendBegin := backend.readUsage(backend.settings.MetricsAddress, true)
	g.measuring.Store(true)
	time.Sleep(time.Duration(seconds) * time.Second)
	g.measuring.Store(false)
	m := measurement{
		entry:   entry.readUsage(entry.settings.MetricsAddress, false).since(entryBegin),
		backend: backend.readUsage(backend.settings.MetricsAddress, false).since(backendBegin),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.tokens = float64(len(g.firstAges)+len(g.laterAges)) / m.entry.seconds
	m.requests = float64(g.requests) / m.entry.seconds
	return m
}

// measureTokens measures answers of the mean length at several token rates. The tokens
// of all streams are produced at the same times or, if staggered, at different ones.
func measureTokens(t *testing.T, staggered bool) {
	var rates, entryCPU, backendCPU []float64
	for _, streams := range []int{70, 140, 280} {
		t.Run("", func(t *testing.T) {
			g := newLoadGenerator(newRig(t, tokenIntervalMillis))
			g.rig.engine.staggered.Store(staggered)
			g.streams(streams, answerTokens)
			m := g.measure(relaySeconds)
			rates = append(rates, m.tokens)
			entryCPU, backendCPU = append(entryCPU, m.entry.cpuPercent), append(backendCPU, m.backend.cpuPercent)
			t.Logf("%d streams, %.0f tokens/s, %.1f requests/s: entry host %.2f%% of a core, %d KB, %.0f B/s control, %.0f B/s platform, "+
				"%.0f B/s data, %.0f allocations/s; backend process %.2f%%, %d KB, %.0f B/s control, %.0f B/s platform",
				streams, m.tokens, m.requests, m.entry.cpuPercent, m.entry.residentBytes>>10, m.entry.control, m.entry.platform,
				m.entry.data, m.entry.mallocs, m.backend.cpuPercent, m.backend.residentBytes>>10, m.backend.control, m.backend.platform)
			t.Logf("from the request to the first token p50 %v, p95 %v", percentile(g.firstTokenTimes, 50), percentile(g.firstTokenTimes, 95))
			t.Logf("from the engine to the caller: first token p50 %v, p95 %v; later tokens p50 %v, p95 %v, p99 %v; time between events at the caller p50 %v, p95 %v",
				percentile(g.firstAges, 50), percentile(g.firstAges, 95), percentile(g.laterAges, 50), percentile(g.laterAges, 95),
				percentile(g.laterAges, 99), percentile(g.gaps, 50), percentile(g.gaps, 95))
		})
	}
	perToken, idle := slope(rates, entryCPU)
	t.Logf("entry host: %.1f µs per token, %.2f%% of a core without tokens", perToken*1e4, idle)
	perToken, idle = slope(rates, backendCPU)
	t.Logf("backend process: %.1f µs per token, %.2f%% of a core without tokens", perToken*1e4, idle)
}

// measureRequests measures requests for answers of one token at several rates.
func measureRequests(t *testing.T) {
	var rates, entryCPU, backendCPU []float64
	for _, rate := range []int{15, 60, 180} {
		t.Run("", func(t *testing.T) {
			g := newLoadGenerator(newRig(t, tokenIntervalMillis))
			g.requestsPerSecond(rate, 1)
			m := g.measure(relaySeconds)
			rates = append(rates, m.requests)
			entryCPU, backendCPU = append(entryCPU, m.entry.cpuPercent), append(backendCPU, m.backend.cpuPercent)
			t.Logf("%.1f requests/s of one token: entry host %.2f%% of a core, %.0f allocations per request; backend process %.2f%%; "+
				"from the request to the first token p50 %v, p95 %v", m.requests, m.entry.cpuPercent, m.entry.mallocs/m.requests,
				m.backend.cpuPercent, percentile(g.firstTokenTimes, 50), percentile(g.firstTokenTimes, 95))
		})
	}
	perRequest, _ := slope(rates, entryCPU)
	t.Logf("entry host: %.0f µs per request of one token", perRequest*1e4)
	perRequest, _ = slope(rates, backendCPU)
	t.Logf("backend process: %.0f µs per request of one token", perRequest*1e4)
}

// measureOpenStreams measures the memory for several numbers of open, slow answers.
func measureOpenStreams(t *testing.T) {
	const slowMillis = 1000
	var counts, entryBytes, backendBytes []float64
	for _, streams := range []int{200, 400, 800} {
		t.Run("", func(t *testing.T) {
			g := newLoadGenerator(newRig(t, slowMillis))
			g.streams(streams, answerTokens)
			m := g.measure(settleSeconds)
			counts = append(counts, float64(g.rig.engine.open.Load()))
			entryBytes, backendBytes = append(entryBytes, float64(m.entry.residentBytes)), append(backendBytes, float64(m.backend.residentBytes))
			t.Logf("%d open streams: entry host %d KB, heap %d KB; backend process %d KB, heap %d KB", g.rig.engine.open.Load(),
				m.entry.residentBytes>>10, m.entry.heapBytes>>10, m.backend.residentBytes>>10, m.backend.heapBytes>>10)
		})
	}
	perStream, none := slope(counts, entryBytes)
	t.Logf("entry host: %.1f KB per stream, %.0f KB without streams", perStream/1024, none/1024)
	perStream, none = slope(counts, backendBytes)
	t.Logf("backend process: %.1f KB per generation, %.0f KB without generations", perStream/1024, none/1024)
}

// measureHeldTokens measures the memory that the process beside a backend server uses
// for finished answers, which it keeps so that callers can resume.
func measureHeldTokens(t *testing.T) {
	const tokens, rate = 500, 20
	var held, resident []float64
	for _, seconds := range []int{3, 6, 12} {
		t.Run("", func(t *testing.T) {
			g := newLoadGenerator(newRig(t, 0))
			g.requestsPerSecond(rate, tokens)
			time.Sleep(time.Duration(seconds) * time.Second)
			g.end()
			time.Sleep(time.Second)
			u := g.rig.backend.readUsage(g.rig.backend.settings.MetricsAddress, false)
			held = append(held, float64(g.sent.Load()*tokens))
			resident = append(resident, float64(u.residentBytes))
			t.Logf("%d tokens in %d finished answers: backend process %d KB, heap %d KB",
				g.sent.Load()*tokens, g.sent.Load(), u.residentBytes>>10, u.heapBytes>>10)
		})
	}
	perToken, none := slope(held, resident)
	t.Logf("backend process: %.0f B per kept token, %.0f KB without tokens", perToken, none/1024)
}
