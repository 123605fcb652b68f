package simulation

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics holds the values for one row of the table, from one trial.
type Metrics struct {
	// GoodputPercent is the worth of the completed requests as a percentage of the
	// worth of all requests.
	GoodputPercent float64
	// RefusedPercent, LostPercent and TimedOutPercent are percentages of the
	// requests.
	RefusedPercent  float64
	LostPercent     float64
	TimedOutPercent float64
	// StallP50, StallP95 and StallP99 are percentiles of the stall time, in seconds.
	StallP50 float64
	StallP95 float64
	StallP99 float64
	// PauseP95 and PauseP99 are percentiles of the stall time after the first token,
	// in seconds.
	PauseP95 float64
	PauseP99 float64
	// FirstTokenP50 and FirstTokenP99 are percentiles of the time to the first
	// token, in seconds.
	FirstTokenP50 float64
	FirstTokenP99 float64
	// GapP99Millis is the 99th percentile of the time between two successive tokens,
	// in milliseconds.
	GapP99Millis float64
	// PreemptionsPerThousand is the number of preemptions per thousand started
	// requests.
	PreemptionsPerThousand float64
	// WastedPercent is the percentage of the produced tokens whose answer was not
	// completed.
	WastedPercent float64
	// ThousandTokens is the number of tokens in the completed answers, in thousands.
	ThousandTokens float64
}

// Metrics returns the values for the row of a class.
func (r *ClassReport) Metrics() Metrics {
	offered := float64(max(r.Offered, 1))
	return Metrics{
		GoodputPercent:         100 * r.Goodput(),
		RefusedPercent:         100 * float64(r.Refused) / offered,
		LostPercent:            100 * float64(r.Lost) / offered,
		TimedOutPercent:        100 * float64(r.TimedOut) / offered,
		StallP50:               seconds(r.Stall, 50),
		StallP95:               seconds(r.Stall, 95),
		StallP99:               seconds(r.Stall, 99),
		PauseP95:               seconds(r.Pause, 95),
		PauseP99:               seconds(r.Pause, 99),
		FirstTokenP50:          seconds(r.FirstToken, 50),
		FirstTokenP99:          seconds(r.FirstToken, 99),
		GapP99Millis:           1000 * seconds(r.Gap, 99),
		PreemptionsPerThousand: r.PreemptionsPerThousand(),
		WastedPercent:          100 * float64(r.Produced-r.Tokens) / float64(max(r.Produced, 1)),
		ThousandTokens:         float64(r.Tokens) / 1000,
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

// spread holds the mean, the lowest and the highest value over the seeds.
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

// String returns the mean with the lowest and the highest value in brackets.
func (s spread) String() string {
	return fmt.Sprintf("%s (%s–%s)", formatValue(s.mean), formatValue(s.lowest), formatValue(s.highest))
}

// formatValue formats a value without decimal places from 100 on, with one from 10 on,
// and with two below 10.
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

// columns lists the columns of the table after those for the policy and the class.
var columns = []struct {
	name  string
	value func(Metrics) float64
}{
	{"goodput %", func(m Metrics) float64 { return m.GoodputPercent }},
	{"refused %", func(m Metrics) float64 { return m.RefusedPercent }},
	{"gave up %", func(m Metrics) float64 { return m.TimedOutPercent }},
	{"lost %", func(m Metrics) float64 { return m.LostPercent }},
	{"stall p50 s", func(m Metrics) float64 { return m.StallP50 }},
	{"stall p95 s", func(m Metrics) float64 { return m.StallP95 }},
	{"stall p99 s", func(m Metrics) float64 { return m.StallP99 }},
	{"pause p95 s", func(m Metrics) float64 { return m.PauseP95 }},
	{"pause p99 s", func(m Metrics) float64 { return m.PauseP99 }},
	{"first p50 s", func(m Metrics) float64 { return m.FirstTokenP50 }},
	{"first p99 s", func(m Metrics) float64 { return m.FirstTokenP99 }},
	{"gap p99 ms", func(m Metrics) float64 { return m.GapP99Millis }},
	{"preempt/1000", func(m Metrics) float64 { return m.PreemptionsPerThousand }},
	{"tokens k", func(m Metrics) float64 { return m.ThousandTokens }},
	{"wasted %", func(m Metrics) float64 { return m.WastedPercent }},
}

// Row is one row of the table: the metrics of a policy and a class over several seeds.
type Row struct {
	// Policy is the name of the policy.
	Policy string
	// Class is the name of the class, allClasses or otherAccounts.
	Class string
	// Seeds holds the metrics of each seed.
	Seeds []Metrics
}

// Mean returns the mean of a metric over the seeds.
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

// WriteTable writes rows as a Markdown table. Each cell has the mean over the seeds
// with the lowest and the highest value in brackets.
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
