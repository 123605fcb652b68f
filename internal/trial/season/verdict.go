package season

import "fmt"

const (
	// goodputSlack is how much less goodput counts as equal, in points.
	goodputSlack = 1
	// halving is the part of the best baseline's figure that the target asks.
	halving = 0.5
	// noWorse is the factor by which an idle figure may exceed the baseline's.
	noWorse = 1.05
	// noWorseSeconds is the same as a difference, for figures close to zero.
	noWorseSeconds = 0.02
	// noPreemptions is the rate, for each thousand generations, below which
	// preemptions count as none.
	noPreemptions = 1
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
	verdicts := []Verdict{
		whole.goodput(),
		whole.halved("stall p95 s", noWorseSeconds, func(f Figures) float64 { return f.StallTail }),
		whole.halved("preempt/1000", noPreemptions, func(f Figures) float64 { return f.Preemptions }),
	}
	for _, c := range d.Classes {
		if c.Urgent {
			v := split(rows, c.Name).kept(func(f Figures) float64 { return f.FirstFar })
			v.Figure = c.Name + " first p99 s"
			verdicts = append(verdicts, v)
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

func (s sides) goodput() Verdict {
	value := func(f Figures) float64 { return f.GoodputPercent }
	best := -s.least(func(f Figures) float64 { return -f.GoodputPercent })
	own := s.forecast.Mean(value)
	return Verdict{Figure: "goodput %", Forecast: own, Baseline: best, Met: own >= best-goodputSlack}
}

// halved asks for half of the best baseline, or for no more than a floor above
// it if it is close to zero.
func (s sides) halved(name string, floor float64, value func(Figures) float64) Verdict {
	own, best := s.forecast.Mean(value), s.least(value)
	met := own <= best*halving || (best <= floor*2 && own <= best+floor)
	return Verdict{Figure: name, Forecast: own, Baseline: best, Met: met}
}

// kept asks for no more than the best baseline.
func (s sides) kept(value func(Figures) float64) Verdict {
	own, best := s.forecast.Mean(value), s.least(value)
	return Verdict{Forecast: own, Baseline: best, Met: own <= max(best*noWorse, best+noWorseSeconds)}
}
