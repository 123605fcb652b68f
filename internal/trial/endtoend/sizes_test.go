package endtoend

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	sizes        = flag.Bool("sizes", false, "measure deployments of the sizes of today, without the race detector; takes minutes")
	sizesSeconds = flag.Int("sizes-seconds", 60, "length of each scenario of -sizes, in seconds")
	sizesSeed    = flag.Uint64("sizes-seed", 0, "seed of the load of -sizes; 0 draws one")
)

const (
	// saturationFactor asks for more tokens than the engines can produce.
	saturationFactor = 1.5
	// saturationSeconds is the length of the measurement of the capacity.
	saturationSeconds = 12
	// sampleMillis is the period at which the running generations are counted.
	sampleMillis = 250
	steadyFactor = 0.67
	peakFactor   = 1.3
	// floodRequestsPerSecond is the rate of a client account that floods.
	floodRequestsPerSecond = 60
	// outageSeconds is the outage of the log.
	outageSeconds = 20
	// allowedRatio and allowedMillis bound an urgent p99 against steady load.
	allowedRatio  = 1.2
	allowedMillis = 20
)

// companyBenchmark measures one company.
type companyBenchmark struct {
	company company
	seed    uint64
	// capacity is the tokens that the engines produce in a second.
	capacity      float64
	steadyResults *results
}

// scenario is a load with a fault in its middle.
type scenario struct {
	name           string
	factor         float64
	floodPerSecond float64
	hostsLost      bool
	// faultSeconds is the length of the fault; zero means a third of the load.
	faultSeconds int
	begin, end   func(*openLoopLoad)
}

var scenarios = []scenario{
	{name: "Steady", factor: steadyFactor},
	{name: "Flood", factor: steadyFactor, floodPerSecond: floodRequestsPerSecond},
	{name: "BackendServerLost", factor: 1, hostsLost: true, begin: loseOne, end: restoreOne},
	{name: "ZoneLost", factor: 1, hostsLost: true, begin: loseZone, end: restoreZone},
	{name: "LogDown", factor: steadyFactor, faultSeconds: outageSeconds, begin: stopLog, end: startLog},
	{name: "Overload", factor: peakFactor},
}

// TestSizesOfToday measures both companies. docs/SIZES.md has the figures.
func TestSizesOfToday(t *testing.T) {
	if !*sizes {
		t.Skip("needs -sizes")
	}
	for _, c := range []company{snagaZajedno, fjorukofar} {
		t.Run(strings.ReplaceAll(c.name, " ", ""), func(t *testing.T) {
			s := &companyBenchmark{company: c, seed: *sizesSeed}
			if s.seed == 0 {
				s.seed = rand.Uint64()
			}
			t.Logf("seed %d", s.seed)
			t.Run("Capacity", s.measureCapacity)
			for _, sc := range scenarios {
				t.Run(sc.name, func(t *testing.T) { s.measure(t, sc) })
			}
		})
	}
}

func (s *companyBenchmark) newArrivals(t *testing.T) *openLoopLoad {
	d := newSizedDeployment(t, s.company)
	return &openLoopLoad{
		d: d, company: s.company, accounts: clientAccountsIn(t, s.company.document(t)),
		random: rand.New(rand.NewPCG(s.seed, 0)), results: newResults(), excluded: make([]atomic.Bool, len(d.entries)),
	}
}

// measureCapacity counts the running generations of engines that are full.
func (s *companyBenchmark) measureCapacity(t *testing.T) {
	a := s.newArrivals(t)
	nominal := float64(s.company.engines*sizesRunning) * 1000 / sizesStepMillis
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	endAt := time.Now().Add(saturationSeconds * time.Second)
	var work errgroup.Group
	work.Go(func() error {
		a.run(ctx, nominal*saturationFactor, 0.1, 0, endAt)
		return nil
	})
	time.Sleep(time.Until(endAt.Add(-saturationSeconds * time.Second / 2)))
	running := a.countRunning(t, endAt)
	_ = work.Wait()
	stop()
	_ = a.work.Wait()
	s.capacity = running * 1000 / sizesStepMillis
	t.Logf("capacity %.0f tokens/s: %.1f of %d places busy in the mean", s.capacity, running, s.company.engines*sizesRunning)
}

// countRunning returns the mean of the generations that run at all engines.
func (a *openLoopLoad) countRunning(t *testing.T, endAt time.Time) float64 {
	sum, samples := 0, 0
	for time.Now().Before(endAt) {
		time.Sleep(sampleMillis * time.Millisecond)
		samples++
		for _, b := range a.d.backends {
			if b.engine == nil {
				continue
			}
			load, err := queryLoad(b.settings.EngineAddress)
			if err != nil {
				t.Logf("load of %s: %v", b.name, err)
				continue
			}
			sum += load.Running
		}
	}
	return float64(sum) / float64(max(samples, 1))
}

func (s *companyBenchmark) measure(t *testing.T, sc scenario) {
	if s.capacity <= 0 {
		t.Fatal("the capacity was not measured: run the subtest Capacity too")
	}
	a := s.newArrivals(t)
	a.flooded = sc.floodPerSecond > 0
	bookedBefore := a.d.bookings()
	begin := time.Now()
	third := time.Duration(*sizesSeconds) * time.Second / 3
	fault := third
	if sc.faultSeconds > 0 {
		fault = time.Duration(sc.faultSeconds) * time.Second
	}
	endAt := begin.Add(2*third + fault)
	var work errgroup.Group
	work.Go(func() error {
		a.run(context.Background(), s.capacity*sc.factor, 1, sc.floodPerSecond, endAt)
		return nil
	})
	if sc.begin != nil {
		time.Sleep(time.Until(begin.Add(third)))
		sc.begin(a)
		time.Sleep(fault)
		sc.end(a)
	}
	running := a.countRunning(t, endAt)
	_ = work.Wait()
	_ = a.work.Wait()
	t.Logf("%.0f s at %.2f of %.0f tokens/s; %.1f places busy at the end; at most %d open; tokens of complete answers %d; all ended after %.1f s",
		endAt.Sub(begin).Seconds(), sc.factor, s.capacity, running, a.mostOpen.Load(), a.results.tokens, time.Since(begin).Seconds())
	a.results.print(t)
	a.printZones(t)
	a.results.checkAnswers(t, sc.hostsLost)
	a.results.checkExecutions(t, a.d, sc.hostsLost)
	a.results.checkBookings(t, a.d.bookings()-bookedBefore)
	if sc.name == "Steady" {
		s.steadyResults = a.results
	}
	if sc.floodPerSecond > 0 && s.steadyResults != nil {
		s.compare(t, a.results)
	}
}

// compare checks the urgent classes and plain calls against steady load.
func (s *companyBenchmark) compare(t *testing.T, now *results) {
	t.Helper()
	for _, k := range s.company.kinds {
		name := k.name() + " answer"
		if k.method == "" {
			name = k.name() + " first token"
		}
		was, ok := s.steadyResults.series[name]
		is, again := now.series[name]
		if !k.urgent || !ok || !again {
			continue
		}
		bound := was.millis(99)*allowedRatio + allowedMillis
		t.Logf("%s: p99 %.1f ms, steady %.1f ms, bound %.1f ms", name, is.millis(99), was.millis(99), bound)
		if is.millis(99) > bound {
			t.Errorf("%s: p99 of %.1f ms is over %.1f ms", name, is.millis(99), bound)
		}
	}
}

// printZones prints how the work spreads over availability zones.
func (a *openLoopLoad) printZones(t *testing.T) {
	t.Helper()
	starts, bookings := make(map[string]int), make(map[string]int)
	hosts := make(map[string]int)
	for _, b := range a.d.backends {
		if b.engine != nil {
			hosts[b.settings.Zone]++
			starts[b.settings.Zone] += b.engine.Starts()
		} else {
			bookings[b.settings.Zone] += b.plainService.Bookings()
		}
	}
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(hosts)) {
		parts = append(parts, fmt.Sprintf("%s %d (%d engines), %d bookings", zone, starts[zone], hosts[zone], bookings[zone]))
	}
	t.Logf("starts by zone: %s", strings.Join(parts, "; "))
}

// lostEngine is the backend server that a scenario loses.
const lostEngine = 0

func loseOne(a *openLoopLoad)    { a.d.backends[lostEngine].lose() }
func restoreOne(a *openLoopLoad) { a.d.backends[lostEngine].restore() }

// loseZone kills every host of the first availability zone.
func loseZone(a *openLoopLoad) {
	a.excluded[0].Store(true)
	a.d.entries[0].kill()
	for _, b := range a.d.backends {
		if b.settings.Zone == a.d.entries[0].settings.Zone {
			b.lose()
		}
	}
}

func restoreZone(a *openLoopLoad) {
	for _, b := range a.d.backends {
		if b.settings.Zone == a.d.entries[0].settings.Zone {
			b.restore()
		}
	}
	a.d.entries[0].start()
	waitVersion(a.d.t, a.d.entries[0].settings.PeerAddress, 1)
	a.excluded[0].Store(false)
}

func stopLog(a *openLoopLoad)  { a.d.site.Journal.Faults.Down.Store(true) }
func startLog(a *openLoopLoad) { a.d.site.Journal.Faults.Down.Store(false) }
