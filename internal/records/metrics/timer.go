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
	// maxTime is the longest time told apart from longer ones.
	maxTime = time.Hour
	// significantFigures is the count of decimal digits kept.
	significantFigures = 2
)

// timer holds the times recorded in the current and the previous window.
type timer struct {
	mu sync.Mutex
	// current and previous are nil until the first time is recorded: a process
	// records some kinds of times only, and a histogram takes 24 KB.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	// total counts the times recorded in all windows.
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
	// The value is within range, which is the only condition.
	_ = t.current.RecordValue(value)
}

// rotate makes the current window the previous one.
func (t *timer) rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return
	}
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
}

// Quantiles of the times in the current and the previous window.
type Quantiles struct {
	// Total counts the times since the process started.
	Total int64
	// Count of times in the windows, which the rest is drawn from.
	Count int64
	// Quantiles in milliseconds; zero when Count is.
	P50  float64
	P90  float64
	P99  float64
	P999 float64
	Max  float64
}

// quantiles merges both windows.
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

// merge returns both windows as one, nil when no time was ever recorded, and
// the count of times since the start.
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

func milliseconds(units int64) float64 {
	return float64(units) * float64(resolution) / float64(time.Millisecond)
}
