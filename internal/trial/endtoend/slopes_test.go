package endtoend

import (
	"flag"
	"testing"
	"time"
)

var (
	slopes     = flag.Bool("slopes", false, "measure what each role costs, without the race detector; takes minutes")
	processors = flag.Int("processors", 0, "processors that each process under test may use; 0 means all")
)

const (
	// answerTokens is the mean length of an answer at the target: 1.2 million
	// tokens by 5,100 requests a second.
	answerTokens = 235
	// tokenIntervalMillis is the time between two tokens of a measured engine.
	tokenIntervalMillis = 70
	// settleSeconds passes before a measurement begins.
	settleSeconds = 4
	// relaySeconds is the length of a measurement under load.
	relaySeconds = 8
	// idleSeconds is the length of a measurement without load.
	idleSeconds = 20
)

// TestSlopes measures what one process of each role costs as its load grows.
// docs/CAPACITY.md works out the target from the slopes.
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

// measurement is one measurement of a rig under load.
type measurement struct {
	tokens, requests float64
	entry, backend   usageRate
}

// measure waits until the load is even, and measures both processes.
func (d *loadGenerator) measure(seconds int) measurement {
	time.Sleep(settleSeconds * time.Second)
	entry, backend := d.rig.entry, d.rig.backend
	entryBegin := entry.readUsage(entry.settings.MetricsAddress, true)
	backendBegin := backend.readUsage(backend.settings.MetricsAddress, true)
	d.measuring.Store(true)
	time.Sleep(time.Duration(seconds) * time.Second)
	d.measuring.Store(false)
	m := measurement{
		entry:   entry.readUsage(entry.settings.MetricsAddress, false).since(entryBegin),
		backend: backend.readUsage(backend.settings.MetricsAddress, false).since(backendBegin),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.tokens = float64(len(d.firstAges)+len(d.laterAges)) / m.entry.seconds
	m.requests = float64(d.requests) / m.entry.seconds
	return m
}

// measureTokens relays answers of the usual length at several token rates. The
// tokens of all streams come at the same moments, or apart.
func measureTokens(t *testing.T, apart bool) {
	var rates, entryCPU, backendCPU []float64
	for _, streams := range []int{70, 140, 280} {
		t.Run("", func(t *testing.T) {
			d := newLoadGenerator(newRig(t, tokenIntervalMillis))
			d.rig.engine.staggered.Store(apart)
			d.streams(streams, answerTokens)
			m := d.measure(relaySeconds)
			rates = append(rates, m.tokens)
			entryCPU, backendCPU = append(entryCPU, m.entry.cpuPercent), append(backendCPU, m.backend.cpuPercent)
			t.Logf("%d streams, %.0f tokens/s, %.1f requests/s: entry host %.2f%% of a core, %d KB, %.0f B/s control, %.0f B/s platform, "+
				"%.0f B/s data, %.0f allocations/s; backend process %.2f%%, %d KB, %.0f B/s control, %.0f B/s platform",
				streams, m.tokens, m.requests, m.entry.cpuPercent, m.entry.residentBytes>>10, m.entry.control, m.entry.platform,
				m.entry.data, m.entry.mallocs, m.backend.cpuPercent, m.backend.residentBytes>>10, m.backend.control, m.backend.platform)
			t.Logf("from the request to the first token p50 %v, p95 %v", percentile(d.firstTokenTimes, 50), percentile(d.firstTokenTimes, 95))
			t.Logf("from the engine to the caller: first token p50 %v, p95 %v; later tokens p50 %v, p95 %v, p99 %v; gap at the caller p50 %v, p95 %v",
				percentile(d.firstAges, 50), percentile(d.firstAges, 95), percentile(d.laterAges, 50), percentile(d.laterAges, 95),
				percentile(d.laterAges, 99), percentile(d.gaps, 50), percentile(d.gaps, 95))
		})
	}
	perToken, idle := slope(rates, entryCPU)
	t.Logf("entry host: %.1f µs a token, %.2f%% of a core at none", perToken*1e4, idle)
	perToken, idle = slope(rates, backendCPU)
	t.Logf("backend process: %.1f µs a token, %.2f%% of a core at none", perToken*1e4, idle)
}

// measureRequests sends requests for one token at several rates.
func measureRequests(t *testing.T) {
	var rates, entryCPU, backendCPU []float64
	for _, rate := range []int{15, 60, 180} {
		t.Run("", func(t *testing.T) {
			d := newLoadGenerator(newRig(t, tokenIntervalMillis))
			d.requestsPerSecond(rate, 1)
			m := d.measure(relaySeconds)
			rates = append(rates, m.requests)
			entryCPU, backendCPU = append(entryCPU, m.entry.cpuPercent), append(backendCPU, m.backend.cpuPercent)
			t.Logf("%.1f requests/s of one token: entry host %.2f%% of a core, %.0f allocations a request; backend process %.2f%%; "+
				"from the request to the first token p50 %v, p95 %v", m.requests, m.entry.cpuPercent, m.entry.mallocs/m.requests,
				m.backend.cpuPercent, percentile(d.firstTokenTimes, 50), percentile(d.firstTokenTimes, 95))
		})
	}
	perRequest, _ := slope(rates, entryCPU)
	t.Logf("entry host: %.0f µs a request of one token", perRequest*1e4)
	perRequest, _ = slope(rates, backendCPU)
	t.Logf("backend process: %.0f µs a request of one token", perRequest*1e4)
}

// measureOpenStreams holds several counts of slow answers open.
func measureOpenStreams(t *testing.T) {
	const slowMillis = 1000
	var counts, entryBytes, backendBytes []float64
	for _, streams := range []int{200, 400, 800} {
		t.Run("", func(t *testing.T) {
			d := newLoadGenerator(newRig(t, slowMillis))
			d.streams(streams, answerTokens)
			m := d.measure(settleSeconds)
			counts = append(counts, float64(d.rig.engine.open.Load()))
			entryBytes, backendBytes = append(entryBytes, float64(m.entry.residentBytes)), append(backendBytes, float64(m.backend.residentBytes))
			t.Logf("%d open: entry host %d KB, heap %d KB; backend process %d KB, heap %d KB", d.rig.engine.open.Load(),
				m.entry.residentBytes>>10, m.entry.heapBytes>>10, m.backend.residentBytes>>10, m.backend.heapBytes>>10)
		})
	}
	perStream, none := slope(counts, entryBytes)
	t.Logf("entry host: %.1f KB a stream, %.0f KB at none", perStream/1024, none/1024)
	perStream, none = slope(counts, backendBytes)
	t.Logf("backend process: %.1f KB a generation, %.0f KB at none", perStream/1024, none/1024)
}

// measureHeldTokens lets a backend server hold ended answers.
func measureHeldTokens(t *testing.T) {
	const tokens, rate = 500, 20
	var held, resident []float64
	for _, seconds := range []int{3, 6, 12} {
		t.Run("", func(t *testing.T) {
			d := newLoadGenerator(newRig(t, 0))
			d.requestsPerSecond(rate, tokens)
			time.Sleep(time.Duration(seconds) * time.Second)
			d.end()
			time.Sleep(time.Second)
			u := d.rig.backend.readUsage(d.rig.backend.settings.MetricsAddress, false)
			held = append(held, float64(d.sent.Load()*tokens))
			resident = append(resident, float64(u.residentBytes))
			t.Logf("%d tokens in %d answers held: backend process %d KB, heap %d KB",
				d.sent.Load()*tokens, d.sent.Load(), u.residentBytes>>10, u.heapBytes>>10)
		})
	}
	perToken, none := slope(held, resident)
	t.Logf("backend process: %.0f B a held token, %.0f KB at none", perToken, none/1024)
}
