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
	sizes        = flag.Bool("sizes", false, "measure deployments of the companies' present sizes, without the race detector; takes minutes")
	sizesSeconds = flag.Int("sizes-seconds", 60, "length of each scenario of -sizes, in seconds")
	sizesSeed    = flag.Uint64("sizes-seed", 0, "seed of the load of -sizes; 0 picks a random seed")
)

const (
	// saturationFactor is the load of the capacity measurement relative to the
	// nominal rate of the engines. It is more than the engines can produce.
	saturationFactor = 1.5
	// saturationSeconds is the length of the capacity measurement.
	saturationSeconds = 12
	// sampleMillis is the period at which the running generations are counted.
	sampleMillis = 250
	// steadyFactor and peakFactor are loads relative to the measured capacity.
	steadyFactor = 0.67
	peakFactor   = 1.3
	// floodRequestsPerSecond is the rate of a client account that floods.
	floodRequestsPerSecond = 60
	// outageSeconds is the length of the log outage.
	outageSeconds = 20
	// allowedRatio and allowedMillis bound the p99 of urgent requests during a
	// flood: the p99 under steady load times allowedRatio, plus allowedMillis.
	allowedRatio  = 1.2
	allowedMillis = 20
)

// companyBenchmark measures the deployment of one company.
type companyBenchmark struct {
	company company
	seed    uint64
	// capacity is the number of tokens that all engines produce per second.
	capacity      float64
	steadyResults *results
}

// scenario is a load with an optional fault in its middle.
type scenario struct {
	name string
	// factor is the load relative to the measured capacity.
	factor float64
	// floodPerSecond is the rate of the requests with which one client account
	// floods; zero means no flood.
	floodPerSecond float64
	// hostsLost is true if the fault stops hosts. Only then may an outcome be
	// unknown, and an idempotent request run more than once.
	hostsLost bool
	// faultSeconds is the length of the fault; zero means a third of the load.
	faultSeconds int
	// begin and end inject and clear the fault; both nil without one.
	begin, end func(*openLoopLoad)
}

var scenarios = []scenario{
	{name: "Steady", factor: steadyFactor},
	{name: "Flood", factor: steadyFactor, floodPerSecond: floodRequestsPerSecond},
	{name: "BackendServerLost", factor: 1, hostsLost: true, begin: loseOne, end: restoreOne},
	{name: "ZoneLost", factor: 1, hostsLost: true, begin: loseZone, end: restoreZone},
	{name: "LogDown", factor: steadyFactor, faultSeconds: outageSeconds, begin: stopLog, end: startLog},
	{name: "Overload", factor: peakFactor},
}

// TestSizesOfToday measures the deployments of both companies. docs/SIZES.md records the
// results.
func TestSizesOfToday(t *testing.T) {
	if !*sizes {
		t.Skip("needs -sizes")
	}
	for _, c := range []company{snagaZajedno, fjorukofar} {
		t.Run(strings.ReplaceAll(c.name, " ", ""), func(t *testing.T) {
			cb := &companyBenchmark{company: c, seed: *sizesSeed}
			if cb.seed == 0 {
				cb.seed = rand.Uint64()
			}
			t.Logf("seed %d", cb.seed)
			t.Run("Capacity", cb.measureCapacity)
			for _, sc := range scenarios {
				t.Run(sc.name, func(t *testing.T) { cb.measure(t, sc) })
			}
		})
	}
}

// newLoad starts the deployment of the company and returns a load for it that has not
// started yet.
func (cb *companyBenchmark) newLoad(t *testing.T) *openLoopLoad {
	d := newSizedDeployment(t, cb.company)
	return &openLoopLoad{
		deployment: d, company: cb.company, accounts: clientAccountsIn(t, cb.company.document(t)),
		random: rand.New(rand.NewPCG(cb.seed, 0)), results: newResults(), excluded: make([]atomic.Bool, len(d.entries)),
	}
}

// measureCapacity measures the capacity: the mean number of running generations on
// saturated engines times their token rate.
func (cb *companyBenchmark) measureCapacity(t *testing.T) {
	l := cb.newLoad(t)
	nominal := float64(cb.company.engines*sizesRunning) * 1000 / sizesStepMillis
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	endAt := time.Now().Add(saturationSeconds * time.Second)
	var work errgroup.Group
	work.Go(func() error {
		l.run(ctx, nominal*saturationFactor, 0.1, 0, endAt)
		return nil
	})
	time.Sleep(time.Until(endAt.Add(-saturationSeconds * time.Second / 2)))
	running := l.countRunning(t, endAt)
	_ = work.Wait()
	stop()
	_ = l.work.Wait()
	cb.capacity = running * 1000 / sizesStepMillis
	t.Logf("capacity %.0f tokens/s: mean of %.1f of %d batch slots in use", cb.capacity, running, cb.company.engines*sizesRunning)
}

// countRunning returns the mean number of generations that run on all engines until
// endAt.
func (l *openLoopLoad) countRunning(t *testing.T, endAt time.Time) float64 {
	sum, samples := 0, 0
	for time.Now().Before(endAt) {
		time.Sleep(sampleMillis * time.Millisecond)
		samples++
		for _, b := range l.deployment.backends {
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

// measure runs one scenario and checks its results.
func (cb *companyBenchmark) measure(t *testing.T, sc scenario) {
	if cb.capacity <= 0 {
		t.Fatal("the capacity was not measured: run the subtest Capacity as well")
	}
	l := cb.newLoad(t)
	l.flooded = sc.floodPerSecond > 0
	bookedBefore := l.deployment.bookings()
	begin := time.Now()
	third := time.Duration(*sizesSeconds) * time.Second / 3
	fault := third
	if sc.faultSeconds > 0 {
		fault = time.Duration(sc.faultSeconds) * time.Second
	}
	endAt := begin.Add(2*third + fault)
	var work errgroup.Group
	work.Go(func() error {
		l.run(context.Background(), cb.capacity*sc.factor, 1, sc.floodPerSecond, endAt)
		return nil
	})
	if sc.begin != nil {
		time.Sleep(time.Until(begin.Add(third)))
		sc.begin(l)
		time.Sleep(fault)
		sc.end(l)
	}
	running := l.countRunning(t, endAt)
	_ = work.Wait()
	_ = l.work.Wait()
	t.Logf("%.0f s at %.2f of %.0f tokens/s; %.1f batch slots in use at the end; at most %d open requests; %d tokens in complete answers; all requests ended after %.1f s",
		endAt.Sub(begin).Seconds(), sc.factor, cb.capacity, running, l.mostOpen.Load(), l.results.tokens, time.Since(begin).Seconds())
	l.results.print(t)
	l.printZones(t)
	l.results.checkAnswers(t, sc.hostsLost)
	l.results.checkExecutions(t, l.deployment, sc.hostsLost)
	l.results.checkBookings(t, l.deployment.bookings()-bookedBefore)
	if sc.name == "Steady" {
		cb.steadyResults = l.results
	}
	if sc.floodPerSecond > 0 && cb.steadyResults != nil {
		cb.compare(t, l.results)
	}
}

// compare checks the p99 of urgent requests against their p99 under steady load.
func (cb *companyBenchmark) compare(t *testing.T, now *results) {
	t.Helper()
	for _, k := range cb.company.kinds {
		name := k.name() + " answer"
		if k.method == "" {
			name = k.name() + " first token"
		}
		steady, ok := cb.steadyResults.series[name]
		current, again := now.series[name]
		if !k.urgent || !ok || !again {
			continue
		}
		bound := steady.millis(99)*allowedRatio + allowedMillis
		t.Logf("%s: p99 %.1f ms, steady %.1f ms, bound %.1f ms", name, current.millis(99), steady.millis(99), bound)
		if current.millis(99) > bound {
			t.Errorf("%s: p99 of %.1f ms exceeds %.1f ms", name, current.millis(99), bound)
		}
	}
}

// printZones logs how generations and bookings are distributed over availability zones.
func (l *openLoopLoad) printZones(t *testing.T) {
	t.Helper()
	starts, bookings := make(map[string]int), make(map[string]int)
	hosts := make(map[string]int)
	for _, b := range l.deployment.backends {
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

// lostEngine is the index of the backend server that the scenario BackendServerLost
// stops.
const lostEngine = 0

func loseOne(l *openLoopLoad)    { l.deployment.backends[lostEngine].lose() }
func restoreOne(l *openLoopLoad) { l.deployment.backends[lostEngine].restore() }

// loseZone stops every host of the first availability zone and takes its entry host
// out of the load balancer.
func loseZone(l *openLoopLoad) {
	l.excluded[0].Store(true)
	l.deployment.entries[0].kill()
	for _, b := range l.deployment.backends {
		if b.settings.Zone == l.deployment.entries[0].settings.Zone {
			b.lose()
		}
	}
}

// restoreZone restarts every host of the first availability zone.
func restoreZone(l *openLoopLoad) {
	for _, b := range l.deployment.backends {
		if b.settings.Zone == l.deployment.entries[0].settings.Zone {
			b.restore()
		}
	}
	l.deployment.entries[0].start()
	waitVersion(l.deployment.t, l.deployment.entries[0].settings.PeerAddress, 1)
	l.excluded[0].Store(false)
}

func stopLog(l *openLoopLoad)  { l.deployment.site.Journal.Faults.Down.Store(true) }
func startLog(l *openLoopLoad) { l.deployment.site.Journal.Faults.Down.Store(false) }
