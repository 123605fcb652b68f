package simulation

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics are the values of one line of the table, from one trial.
type Metrics struct {
	// GoodputPercent is the worth of the completed requests as a part of the
	// worth of all.
	GoodputPercent float64
	// RefusedPercent, LostPercent and GaveUpPercent are parts of the requests.
	RefusedPercent  float64
	LostPercent     float64
	TimedOutPercent float64
	// StallMedian, StallTail and StallFar are the median, the 95th and the 99th
	// percentile of the stall time, in seconds.
	StallP50 float64
	StallP95 float64
	StallP99 float64
	// PauseP95 and PauseFar are those of the stall time after the first token.
	PauseP95 float64
	PauseP99 float64
	// FirstTokenP50 and FirstFar are the median and the 99th percentile of the
	// time to the first token, in seconds.
	FirstTokenP50 float64
	FirstTokenP99 float64
	// GapP99Millis is the 99th percentile between two tokens, in milliseconds.
	GapP99Millis float64
	// PreemptionsPerThousand is the number for each thousand generations.
	PreemptionsPerThousand float64
	// WastedPercent is the part of the produced tokens whose answer was not
	// completed.
	WastedPercent float64
	// ThousandTokens counts the tokens of the completed answers, in thousands.
	ThousandTokens float64
}

// Metrics returns the values of one class.
func (t *ClassReport) Metrics() Metrics {
	offered := float64(max(t.Offered, 1))
	return Metrics{
		GoodputPercent:         100 * t.Goodput(),
		RefusedPercent:         100 * float64(t.Refused) / offered,
		LostPercent:            100 * float64(t.Lost) / offered,
		TimedOutPercent:        100 * float64(t.TimedOut) / offered,
		StallP50:               seconds(t.Stall, 50),
		StallP95:               seconds(t.Stall, 95),
		StallP99:               seconds(t.Stall, 99),
		PauseP95:               seconds(t.Pause, 95),
		PauseP99:               seconds(t.Pause, 99),
		FirstTokenP50:          seconds(t.FirstToken, 50),
		FirstTokenP99:          seconds(t.FirstToken, 99),
		GapP99Millis:           1000 * seconds(t.Gap, 99),
		PreemptionsPerThousand: t.PreemptionsPerThousand(),
		WastedPercent:          100 * float64(t.Produced-t.Tokens) / float64(max(t.Produced, 1)),
		ThousandTokens:         float64(t.Tokens) / 1000,
	}
}

// Total returns the report of all classes together.
func (r Report) Total() ClassReport {
	t := newClassReport(allClasses)
	for _, c := range r.Classes {
		t.Offered += c.Offered
		t.WorthOffered += c.WorthOffered
		t.WorthCompleted += c.WorthCompleted
		t.Completed += c.Completed
		t.Refused += c.Refused
		t.Lost += c.Lost
		t.TimedOut += c.TimedOut
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
	mean, lowest, highest float64
}

func newSpread(values []float64) spread {
	s := spread{lowest: math.Inf(1), highest: math.Inf(-1)}
	for _, v := range values {
		s.mean += v / float64(len(values))
		s.lowest = min(s.lowest, v)
		s.highest = max(s.highest, v)
	}
	return s
}

// String prints the mean and the range.
func (s spread) String() string {
	return fmt.Sprintf("%s (%s–%s)", formatValue(s.mean), formatValue(s.lowest), formatValue(s.highest))
}

// formatValue prints three significant digits.
func formatValue(v float64) string {
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
	value func(Metrics) float64
}{
	{"goodput %", func(f Metrics) float64 { return f.GoodputPercent }},
	{"refused %", func(f Metrics) float64 { return f.RefusedPercent }},
	{"gave up %", func(f Metrics) float64 { return f.TimedOutPercent }},
	{"lost %", func(f Metrics) float64 { return f.LostPercent }},
	{"stall p50 s", func(f Metrics) float64 { return f.StallP50 }},
	{"stall p95 s", func(f Metrics) float64 { return f.StallP95 }},
	{"stall p99 s", func(f Metrics) float64 { return f.StallP99 }},
	{"pause p95 s", func(f Metrics) float64 { return f.PauseP95 }},
	{"pause p99 s", func(f Metrics) float64 { return f.PauseP99 }},
	{"first p50 s", func(f Metrics) float64 { return f.FirstTokenP50 }},
	{"first p99 s", func(f Metrics) float64 { return f.FirstTokenP99 }},
	{"gap p99 ms", func(f Metrics) float64 { return f.GapP99Millis }},
	{"preempt/1000", func(f Metrics) float64 { return f.PreemptionsPerThousand }},
	{"tokens k", func(f Metrics) float64 { return f.ThousandTokens }},
	{"wasted %", func(f Metrics) float64 { return f.WastedPercent }},
}

// Row is one line of the table: a policy and a class over several seeds.
type Row struct {
	// Policy names the policy.
	Policy string
	// Class names the class, or all of them.
	Class string
	// Seeds holds the figures of each seed.
	Seeds []Metrics
}

// Mean returns the mean of a figure over the seeds.
func (r Row) Mean(value func(Metrics) float64) float64 {
	return r.spread(value).mean
}

func (r Row) spread(value func(Metrics) float64) spread {
	values := make([]float64, len(r.Seeds))
	for i, f := range r.Seeds {
		values[i] = value(f)
	}
	return newSpread(values)
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
