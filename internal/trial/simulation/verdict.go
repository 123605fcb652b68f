package simulation

import "fmt"

const (
	// goodputTolerancePoints is how far below the best baseline a goodput may lie
	// and still count as equal, in percentage points.
	goodputTolerancePoints = 1
	// halfFactor is the factor on the best baseline's value that atMostHalf
	// requires.
	halfFactor = 0.5
	// stalledFromSeconds is the stall time of the best baseline from which requests
	// count as stalled. Below it, the target is to be no worse than the baseline.
	stalledFromSeconds = 0.2
	// noWorseFactor is the factor on the best baseline's value up to which a value
	// counts as no worse.
	noWorseFactor = 1.05
	// noWorseSeconds is the difference from the best baseline's value up to which a
	// value counts as no worse, for values close to zero.
	noWorseSeconds = 0.02
)

// Verdict compares one metric of Forecast with the best value that any of the
// baselines reached for it.
type Verdict struct {
	// Metric is the name of the metric.
	Metric string
	// Forecast and Baseline are the values of Forecast and of the best baseline, as
	// means over the seeds.
	Forecast float64
	Baseline float64
	// Met reports whether the target is met.
	Met bool
}

// String returns the verdict as a line of text.
func (v Verdict) String() string {
	word := "missed"
	if v.Met {
		word = "met"
	}
	return fmt.Sprintf("%s: %s against %s, %s", v.Metric, formatValue(v.Forecast), formatValue(v.Baseline), word)
}

// Judge returns the verdicts on the rows of one comparison. The targets are:
//
//   - the goodput, of all client accounts and of those that do not flood, equals that of
//     the best baseline;
//   - the stall time and the preemptions are at most half of the best baseline's if
//     requests stall there, and no worse than the best baseline's otherwise;
//   - the time to the first token of urgent requests is no worse than with any baseline.
func Judge(d Deployment, rows []Row) []Verdict {
	all := selectClass(rows, allClasses)
	stall := func(m Metrics) float64 { return m.StallP95 }
	preemptions := func(m Metrics) float64 { return m.PreemptionsPerThousand }
	judge := all.atMostHalf
	if all.lowestBaseline(stall) < stalledFromSeconds {
		judge = all.noWorse
	}
	verdicts := []Verdict{
		all.goodput("goodput %"),
		selectClass(rows, otherAccounts).goodput("goodput of other accounts %"),
		judge("stall p95 s", stall),
		judge("preempt/1000", preemptions),
	}
	for _, c := range d.Classes {
		if c.Urgent {
			first := func(m Metrics) float64 { return m.FirstTokenP99 }
			verdicts = append(verdicts, selectClass(rows, c.Name).noWorse(c.Name+" first p99 s", first))
		}
	}
	return verdicts
}

// classRows holds the rows of one class: that of Forecast and those of the baselines.
type classRows struct {
	forecast  Row
	baselines []Row
}

// selectClass returns the rows of a class.
func selectClass(rows []Row, class string) classRows {
	var s classRows
	for _, r := range rows {
		switch {
		case r.Class != class:
		case r.Policy == PolicyName(Forecast{}):
			s.forecast = r
		default:
			s.baselines = append(s.baselines, r)
		}
	}
	return s
}

// lowestBaseline returns the lowest mean of a metric among the baselines.
func (s classRows) lowestBaseline(value func(Metrics) float64) float64 {
	least := s.baselines[0].Mean(value)
	for _, r := range s.baselines[1:] {
		least = min(least, r.Mean(value))
	}
	return least
}

// goodput returns the verdict on the target that the goodput is not below the best
// baseline's, within goodputTolerancePoints.
func (s classRows) goodput(name string) Verdict {
	value := func(m Metrics) float64 { return m.GoodputPercent }
	best := -s.lowestBaseline(func(m Metrics) float64 { return -m.GoodputPercent })
	own := s.forecast.Mean(value)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: own >= best-goodputTolerancePoints}
}

// atMostHalf returns the verdict on the target that a metric is at most half of the
// best baseline's.
func (s classRows) atMostHalf(name string, value func(Metrics) float64) Verdict {
	own, best := s.forecast.Mean(value), s.lowestBaseline(value)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: own <= best*halfFactor}
}

// noWorse returns the verdict on the target that a metric is no higher than the best
// baseline's, within noWorseFactor or noWorseSeconds.
func (s classRows) noWorse(name string, value func(Metrics) float64) Verdict {
	own, best := s.forecast.Mean(value), s.lowestBaseline(value)
	met := own <= max(best*noWorseFactor, best+noWorseSeconds)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: met}
}
