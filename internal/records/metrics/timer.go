package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of a histogram.
const (
	// resolution is the resolution of recorded times.
	resolution = 10 * time.Microsecond
	// maxTime is the longest recorded time; longer ones are recorded as maxTime.
	maxTime = time.Hour
	// significantFigures is the number of decimal digits kept.
	significantFigures = 2
)

// timer holds the times recorded in the current and the previous window.
type timer struct {
	mu sync.Mutex
	// current and previous are nil until the first time is recorded, because a
	// process uses only some of its timers and a histogram takes 24 KB.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// total is the number of times recorded since the process started.
	total int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime/resolution), significantFigures)
}

// record adds one time, limited to the range of the histogram.
func (t *timer) record(d time.Duration) {
	value := int64(min(max(d, 0), maxTime) / resolution)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.current = newHistogram()
		t.previous = newHistogram()
	}
	t.total++
	// RecordValue fails only for a value out of range, which value is not.
	_ = t.current.RecordValue(value)
}

// rotate makes the current window the previous one and starts an empty one.
func (t *timer) rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return
	}
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
}

// Quantiles holds quantiles of the times in the current and the previous window.
type Quantiles struct {
	// Total is the number of times recorded since the process started.
	Total int64
	// Count is the number of times in both windows, from which the quantiles are
	// computed.
	Count int64
	// P50 to P999 are quantiles and Max is the maximum, in milliseconds. They are
	// zero if Count is zero.
	P50  float64
	P90  float64
	P99  float64
	P999 float64
	Max  float64
}

// quantiles returns the quantiles over both windows.
func (t *timer) quantiles() Quantiles {
	merged, total := t.merge()
	if merged == nil {
		return Quantiles{}
	}
	return Quantiles{
		Total: total,
		Count: merged.TotalCount(),
		P50:   milliseconds(merged.ValueAtQuantile(50)),
		P90:   milliseconds(merged.ValueAtQuantile(90)),
		P99:   milliseconds(merged.ValueAtQuantile(99)),
		P999:  milliseconds(merged.ValueAtQuantile(99.9)),
		Max:   milliseconds(merged.Max()),
	}
}

// merge returns the histogram of both windows and the number of times recorded
// since the process started. The histogram is nil if no time was ever recorded.
func (t *timer) merge() (*hdrhistogram.Histogram, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return nil, 0
	}
	merged := hdrhistogram.Import(t.current.Export())
	merged.Merge(t.previous)
	return merged, t.total
}

// milliseconds converts a histogram value to milliseconds.
func milliseconds(units int64) float64 {
	return float64(units) * float64(resolution) / float64(time.Millisecond)
}
