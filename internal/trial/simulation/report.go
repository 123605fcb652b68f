package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicros is the longest time that is told apart.
	maxRecordedMicros = 600 * microsPerSecond
	// significantDigits is the number of significant digits of the histograms.
	significantDigits = 3
)

// ClassReport is what was measured of one class.
type ClassReport struct {
	// Class names the class.
	Class string
	// Offered counts the requests.
	Offered int
	// Completed counts the whole answers within the deadline.
	Completed int
	// Refused counts the requests that got a final refusal; they were not run.
	Refused int
	// Lost counts the generations that ended with their backend server.
	Lost int
	// TimedOut counts the callers who left at their deadline.
	TimedOut int
	// Started counts the requests that reached an engine.
	Started int
	// Tokens counts the tokens of the completed answers.
	Tokens int
	// Produced counts the tokens of all answers, with those cut short.
	Produced int
	// Preemptions counts the preemptions of all generations.
	Preemptions int
	// WorthOffered and WorthCompleted are the value of the requests.
	WorthOffered   float64
	WorthCompleted float64
	// Stall is the time without progress of each request that was not refused,
	// in microseconds: until the first token and in gaps from 200 ms on.
	Stall *hdrhistogram.Histogram
	// Pause is the part of it after the first token.
	Pause *hdrhistogram.Histogram
	// FirstToken is the time to the first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// Gap is the time between two tokens, in microseconds.
	Gap *hdrhistogram.Histogram
}

// Report is the outcome of one or more trials.
type Report struct {
	// Classes holds a report for each class, in the deployment's order.
	Classes []ClassReport
	// OtherAccounts covers all classes of all client accounts but the first, which is
	// the one that floods.
	OtherAccounts *ClassReport
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

func newReport(d Deployment) Report {
	r := Report{Classes: make([]ClassReport, len(d.Classes))}
	for i, c := range d.Classes {
		r.Classes[i] = newClassReport(c.Name)
	}
	others := newClassReport(otherAccounts)
	r.OtherAccounts = &others
	return r
}

func newClassReport(name string) ClassReport {
	return ClassReport{
		Class:      name,
		Stall:      newHistogram(),
		Pause:      newHistogram(),
		FirstToken: newHistogram(),
		Gap:        newHistogram(),
	}
}

// class returns the report of a call's class.
func (r Report) class(c *call) *ClassReport {
	for i := range r.Classes {
		if r.Classes[i].Class == c.class.Name {
			return &r.Classes[i]
		}
	}
	return nil
}

// record adds a call that has ended.
func (r Report) record(c *call, end int64) {
	r.class(c).record(c, end)
	if c.account != 0 {
		r.OtherAccounts.record(c, end)
	}
}

// record adds a call that has ended.
func (t *ClassReport) record(c *call, end int64) {
	t.Offered++
	t.WorthOffered += c.class.Worth
	t.Preemptions += c.preemptions
	t.Produced += c.produced
	if c.started {
		t.Started++
	}
	switch c.state {
	case stateCompleted:
		t.Completed++
		t.Tokens += c.outputTokens
		t.WorthCompleted += c.class.Worth
	case stateRefused:
		t.Refused++
		return
	case stateLost:
		t.Lost++
	default:
		t.TimedOut++
	}
	recordMicros(t.Stall, c.stallMicros(end))
	recordMicros(t.Pause, c.pauseMicros)
	if c.produced > 0 {
		recordMicros(t.FirstToken, c.firstToken-c.arrived)
	}
}

// recordMicros adds a time, cut to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(max(0, min(micros, maxRecordedMicros)))
}

// Goodput returns the worth of the completed requests as a part of the worth of
// all that were offered.
func (t *ClassReport) Goodput() float64 {
	if t.WorthOffered == 0 {
		return 0
	}
	return t.WorthCompleted / t.WorthOffered
}

// PreemptionsPerThousand returns the preemptions for each thousand generations.
func (t *ClassReport) PreemptionsPerThousand() float64 {
	return 1000 * float64(t.Preemptions) / float64(max(t.Started, 1))
}
