package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicros is the longest time that a histogram can hold, in
	// microseconds. Longer times are recorded as this one.
	maxRecordedMicros = 600 * microsPerSecond
	// significantDigits is the number of significant digits of the histograms.
	significantDigits = 3
)

// ClassReport holds the measurements of one class.
type ClassReport struct {
	// Class is the name of the class.
	Class string
	// Offered is the number of measured requests.
	Offered int
	// Completed is the number of answers that were completed within the deadline.
	Completed int
	// Refused is the number of requests that got a final refusal; they were not
	// run.
	Refused int
	// Lost is the number of requests whose generation was lost with its backend
	// server or failed on the engine.
	Lost int
	// TimedOut is the number of requests that reached their deadline, at which their
	// caller disconnects.
	TimedOut int
	// Started is the number of requests that reached an engine.
	Started int
	// Tokens is the number of tokens in the completed answers.
	Tokens int
	// Produced is the number of tokens in all answers, including truncated ones.
	Produced int
	// Preemptions is the number of preemptions of all generations.
	Preemptions int
	// WorthOffered and WorthCompleted are the total worth of the measured and of the
	// completed requests.
	WorthOffered   float64
	WorthCompleted float64
	// Stall is the time without progress of each request that was not refused, in
	// microseconds: the time until the first token and the gaps between tokens of at
	// least 200 ms (stallThresholdMicros).
	Stall *hdrhistogram.Histogram
	// Pause is the part of the stall time after the first token, in microseconds.
	Pause *hdrhistogram.Histogram
	// FirstToken is the time to the first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// Gap is the time between two successive tokens, in microseconds.
	Gap *hdrhistogram.Histogram
}

// Report is the result of one trial.
type Report struct {
	// Classes holds a report for each class, in the order of the deployment.
	Classes []ClassReport
	// OtherAccounts covers all classes of all client accounts except the first,
	// which is the one that floods.
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

// record adds a call that has ended to the reports that cover it.
func (r Report) record(c *call, end int64) {
	r.class(c).record(c, end)
	if c.account != 0 {
		r.OtherAccounts.record(c, end)
	}
}

// record adds a call that has ended. Times of refused calls are not recorded.
func (r *ClassReport) record(c *call, end int64) {
	r.Offered++
	r.WorthOffered += c.class.Worth
	r.Preemptions += c.preemptions
	r.Produced += c.produced
	if c.started {
		r.Started++
	}
	switch c.state {
	case stateCompleted:
		r.Completed++
		r.Tokens += c.outputTokens
		r.WorthCompleted += c.class.Worth
	case stateRefused:
		r.Refused++
		return
	case stateLost:
		r.Lost++
	default:
		r.TimedOut++
	}
	recordMicros(r.Stall, c.stallMicros(end))
	recordMicros(r.Pause, c.pauseMicros)
	if c.produced > 0 {
		recordMicros(r.FirstToken, c.firstToken-c.arrived)
	}
}

// recordMicros records a time, limited to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(max(0, min(micros, maxRecordedMicros)))
}

// Goodput returns the worth of the completed requests as a fraction of the worth of
// all offered requests.
func (r *ClassReport) Goodput() float64 {
	if r.WorthOffered == 0 {
		return 0
	}
	return r.WorthCompleted / r.WorthOffered
}

// PreemptionsPerThousand returns the number of preemptions per thousand started
// requests.
func (r *ClassReport) PreemptionsPerThousand() float64 {
	return 1000 * float64(r.Preemptions) / float64(max(r.Started, 1))
}
