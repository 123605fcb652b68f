package simulation

import "fmt"

const (
	// goodputTolerancePoints is how much less goodput counts as equal, in points.
	goodputTolerancePoints = 1
	// halfFactor is the part of the best baseline's figure that the target asks
	// where requests stall.
	halfFactor = 0.5
	// stalledFromSeconds is the stall time of the best baseline from which requests
	// count as stalled; below it the target is to be no worse.
	stalledFromSeconds = 0.2
	// noWorseFactor is the factor by which a figure may exceed the baseline's.
	noWorseFactor = 1.05
	// noWorseSeconds is the same as a difference, for figures close to zero.
	noWorseSeconds = 0.02
)

// Verdict compares one figure of the project's policy with the best of the
// baselines, whichever baseline has it.
type Verdict struct {
	// Metric names the figure.
	Metric string
	// Forecast and Baseline are the means over the seeds.
	Forecast float64
	Baseline float64
	// Met tells whether the target is reached.
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

// Judge returns the verdicts on the rows of one comparison: equal goodput, half
// the preemptions and half the stall time where requests have to wait, no worse
// where they have not, and urgent requests as prompt as with any baseline.
func Judge(d Deployment, rows []Row) []Verdict {
	whole := selectClass(rows, allClasses)
	stall := func(f Metrics) float64 { return f.StallP95 }
	preemptions := func(f Metrics) float64 { return f.PreemptionsPerThousand }
	judge := whole.atMostHalf
	if whole.lowestBaseline(stall) < stalledFromSeconds {
		judge = whole.noWorse
	}
	verdicts := []Verdict{
		whole.goodput("goodput %"),
		selectClass(rows, otherAccounts).goodput("goodput of other accounts %"),
		judge("stall p95 s", stall),
		judge("preempt/1000", preemptions),
	}
	for _, c := range d.Classes {
		if c.Urgent {
			first := func(f Metrics) float64 { return f.FirstTokenP99 }
			verdicts = append(verdicts, selectClass(rows, c.Name).noWorse(c.Name+" first p99 s", first))
		}
	}
	return verdicts
}

// classRows holds the rows of one class.
type classRows struct {
	forecast  Row
	baselines []Row
}

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

// lowestBaseline returns the smallest mean of a figure among the baselines.
func (s classRows) lowestBaseline(value func(Metrics) float64) float64 {
	least := s.baselines[0].Mean(value)
	for _, r := range s.baselines[1:] {
		least = min(least, r.Mean(value))
	}
	return least
}

func (s classRows) goodput(name string) Verdict {
	value := func(f Metrics) float64 { return f.GoodputPercent }
	best := -s.lowestBaseline(func(f Metrics) float64 { return -f.GoodputPercent })
	own := s.forecast.Mean(value)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: own >= best-goodputTolerancePoints}
}

// atMostHalf asks for half of the best baseline.
func (s classRows) atMostHalf(name string, value func(Metrics) float64) Verdict {
	own, best := s.forecast.Mean(value), s.lowestBaseline(value)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: own <= best*halfFactor}
}

// noWorse asks for no more than the best baseline.
func (s classRows) noWorse(name string, value func(Metrics) float64) Verdict {
	own, best := s.forecast.Mean(value), s.lowestBaseline(value)
	met := own <= max(best*noWorseFactor, best+noWorseSeconds)
	return Verdict{Metric: name, Forecast: own, Baseline: best, Met: met}
}
