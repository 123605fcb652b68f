package simulation

import "fmt"

const (
	// goodputSlack is how much less goodput counts as equal, in points.
	goodputSlack = 1
	// halving is the part of the best baseline's figure that the target asks
	// where requests stall.
	halving = 0.5
	// stallSeconds is the stall time of the best baseline from which requests
	// count as stalled; below it the target is to be no worse.
	stallSeconds = 0.2
	// noWorse is the factor by which a figure may exceed the baseline's.
	noWorse = 1.05
	// noWorseSeconds is the same as a difference, for figures close to zero.
	noWorseSeconds = 0.02
)

// Verdict compares one figure of the project's policy with the best of the
// baselines, whichever baseline has it.
type Verdict struct {
	// Figure names the figure.
	Figure string
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
	return fmt.Sprintf("%s: %s against %s, %s", v.Figure, short(v.Forecast), short(v.Baseline), word)
}

// Judge returns the verdicts on the rows of one comparison: equal goodput, half
// the preemptions and half the stall time where requests have to wait, no worse
// where they have not, and urgent requests as prompt as with any baseline.
func Judge(d Deployment, rows []Row) []Verdict {
	whole := split(rows, wholeClass)
	stall := func(f Figures) float64 { return f.StallTail }
	preemptions := func(f Figures) float64 { return f.Preemptions }
	judge := whole.halved
	if whole.least(stall) < stallSeconds {
		judge = whole.kept
	}
	verdicts := []Verdict{
		whole.goodput("goodput %"),
		split(rows, otherAccounts).goodput("goodput of other accounts %"),
		judge("stall p95 s", stall),
		judge("preempt/1000", preemptions),
	}
	for _, c := range d.Classes {
		if c.Urgent {
			first := func(f Figures) float64 { return f.FirstFar }
			verdicts = append(verdicts, split(rows, c.Name).kept(c.Name+" first p99 s", first))
		}
	}
	return verdicts
}

// sides holds the rows of one class.
type sides struct {
	forecast  Row
	baselines []Row
}

func split(rows []Row, class string) sides {
	var s sides
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

// least returns the smallest mean of a figure among the baselines.
func (s sides) least(value func(Figures) float64) float64 {
	least := s.baselines[0].Mean(value)
	for _, r := range s.baselines[1:] {
		least = min(least, r.Mean(value))
	}
	return least
}

func (s sides) goodput(name string) Verdict {
	value := func(f Figures) float64 { return f.GoodputPercent }
	best := -s.least(func(f Figures) float64 { return -f.GoodputPercent })
	own := s.forecast.Mean(value)
	return Verdict{Figure: name, Forecast: own, Baseline: best, Met: own >= best-goodputSlack}
}

// halved asks for half of the best baseline.
func (s sides) halved(name string, value func(Figures) float64) Verdict {
	own, best := s.forecast.Mean(value), s.least(value)
	return Verdict{Figure: name, Forecast: own, Baseline: best, Met: own <= best*halving}
}

// kept asks for no more than the best baseline.
func (s sides) kept(name string, value func(Figures) float64) Verdict {
	own, best := s.forecast.Mean(value), s.least(value)
	met := own <= max(best*noWorse, best+noWorseSeconds)
	return Verdict{Figure: name, Forecast: own, Baseline: best, Met: met}
}
