package simulation

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the values of one line of the table, from one trial.
type Figures struct {
	// GoodputPercent is the worth of the completed requests as a part of the
	// worth of all.
	GoodputPercent float64
	// RefusedPercent, LostPercent and GaveUpPercent are parts of the requests.
	RefusedPercent float64
	LostPercent    float64
	GaveUpPercent  float64
	// StallMedian, StallTail and StallFar are the median, the 95th and the 99th
	// percentile of the stall time, in seconds.
	StallMedian float64
	StallTail   float64
	StallFar    float64
	// PauseTail and PauseFar are those of the stall time after the first token.
	PauseTail float64
	PauseFar  float64
	// FirstMedian and FirstFar are the median and the 99th percentile of the
	// time to the first token, in seconds.
	FirstMedian float64
	FirstFar    float64
	// GapMillis is the 99th percentile between two tokens, in milliseconds.
	GapMillis float64
	// Preemptions is the number for each thousand generations.
	Preemptions float64
	// WastedPercent is the part of the produced tokens whose answer was not
	// completed.
	WastedPercent float64
	// Tokens counts the tokens of the completed answers, in thousands.
	Tokens float64
}

// Figures returns the values of one class.
func (t *ClassReport) Figures() Figures {
	offered := float64(max(t.Offered, 1))
	return Figures{
		GoodputPercent: 100 * t.Goodput(),
		RefusedPercent: 100 * float64(t.Refused) / offered,
		LostPercent:    100 * float64(t.Lost) / offered,
		GaveUpPercent:  100 * float64(t.GaveUp) / offered,
		StallMedian:    seconds(t.Stall, 50),
		StallTail:      seconds(t.Stall, 95),
		StallFar:       seconds(t.Stall, 99),
		PauseTail:      seconds(t.Pause, 95),
		PauseFar:       seconds(t.Pause, 99),
		FirstMedian:    seconds(t.FirstToken, 50),
		FirstFar:       seconds(t.FirstToken, 99),
		GapMillis:      1000 * seconds(t.Gap, 99),
		Preemptions:    t.PreemptionsPerThousand(),
		WastedPercent:  100 * float64(t.Produced-t.Tokens) / float64(max(t.Produced, 1)),
		Tokens:         float64(t.Tokens) / 1000,
	}
}

// Total returns the report of all classes together.
func (r Report) Total() ClassReport {
	t := newClassReport(wholeClass)
	for _, c := range r.Classes {
		t.Offered += c.Offered
		t.WorthOffered += c.WorthOffered
		t.WorthCompleted += c.WorthCompleted
		t.Completed += c.Completed
		t.Refused += c.Refused
		t.Lost += c.Lost
		t.GaveUp += c.GaveUp
		t.Started += c.Started
		t.Tokens += c.Tokens
		t.Produced += c.Produced
		t.Preemptions += c.Preemptions
		t.Stall.Merge(c.Stall)
		t.Pause.Merge(c.Pause)
		t.FirstToken.Merge(c.FirstToken)
		t.Gap.Merge(c.Gap)
	}
	return t
}

func seconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / microsPerSecond
}

// spread is a mean over seeds with its smallest and largest value.
type spread struct {
	mean, least, most float64
}

func spreadOf(values []float64) spread {
	s := spread{least: math.Inf(1), most: math.Inf(-1)}
	for _, v := range values {
		s.mean += v / float64(len(values))
		s.least = min(s.least, v)
		s.most = max(s.most, v)
	}
	return s
}

// String prints the mean and the range.
func (s spread) String() string {
	return fmt.Sprintf("%s (%s–%s)", short(s.mean), short(s.least), short(s.most))
}

// short prints three significant digits.
func short(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2f", v)
	}
}

// columns are the columns of the table after the policy and the class.
var columns = []struct {
	name  string
	value func(Figures) float64
}{
	{"goodput %", func(f Figures) float64 { return f.GoodputPercent }},
	{"refused %", func(f Figures) float64 { return f.RefusedPercent }},
	{"gave up %", func(f Figures) float64 { return f.GaveUpPercent }},
	{"lost %", func(f Figures) float64 { return f.LostPercent }},
	{"stall p50 s", func(f Figures) float64 { return f.StallMedian }},
	{"stall p95 s", func(f Figures) float64 { return f.StallTail }},
	{"stall p99 s", func(f Figures) float64 { return f.StallFar }},
	{"pause p95 s", func(f Figures) float64 { return f.PauseTail }},
	{"pause p99 s", func(f Figures) float64 { return f.PauseFar }},
	{"first p50 s", func(f Figures) float64 { return f.FirstMedian }},
	{"first p99 s", func(f Figures) float64 { return f.FirstFar }},
	{"gap p99 ms", func(f Figures) float64 { return f.GapMillis }},
	{"preempt/1000", func(f Figures) float64 { return f.Preemptions }},
	{"tokens k", func(f Figures) float64 { return f.Tokens }},
	{"wasted %", func(f Figures) float64 { return f.WastedPercent }},
}

// Row is one line of the table: a policy and a class over several seeds.
type Row struct {
	// Policy names the policy.
	Policy string
	// Class names the class, or all of them.
	Class string
	// Seeds holds the figures of each seed.
	Seeds []Figures
}

// Mean returns the mean of a figure over the seeds.
func (r Row) Mean(value func(Figures) float64) float64 {
	return r.spread(value).mean
}

func (r Row) spread(value func(Figures) float64) spread {
	values := make([]float64, len(r.Seeds))
	for i, f := range r.Seeds {
		values[i] = value(f)
	}
	return spreadOf(values)
}

// WriteTable prints rows as a Markdown table: the mean over the seeds, with the
// smallest and the largest value in brackets.
func WriteTable(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	header, rule := "| policy\t| class\t", "|---\t|---\t"
	for _, c := range columns {
		header += "| " + c.name + "\t"
		rule += "|---\t"
	}
	_, _ = fmt.Fprintln(t, header+"|")
	_, _ = fmt.Fprintln(t, rule+"|")
	for _, r := range rows {
		line := fmt.Sprintf("| %s\t| %s\t", r.Policy, r.Class)
		for _, c := range columns {
			line += "| " + r.spread(c.value).String() + "\t"
		}
		_, _ = fmt.Fprintln(t, line+"|")
	}
	return t.Flush()
}
