package admission

import "time"

const (
	// paceSmoothing is the weight of the latest interval between two starts in
	// the moving average.
	paceSmoothing = 0.1
	// retryMinMillis and retryMaxMillis bound the delay after which a refused
	// request may be retried.
	retryMinMillis = 100
	retryMaxMillis = 60_000
)

// pace estimates how fast the queue drains. It averages the intervals between
// starts while requests are waiting.
type pace struct {
	// intervalMicros is the moving average of the interval. Zero means unknown.
	intervalMicros float64
	// lastStart is when a queued request last started. Zero means that none has
	// started since the queue was last empty.
	lastStart time.Time
}

// started records that a queued request has started.
func (p *pace) started(now time.Time) {
	if !p.lastStart.IsZero() {
		sample := float64(now.Sub(p.lastStart).Microseconds())
		if p.intervalMicros == 0 {
			p.intervalMicros = sample
		}
		p.intervalMicros += paceSmoothing * (sample - p.intervalMicros)
	}
	p.lastStart = now
}

// idle records that the queue is empty.
func (p *pace) idle() {
	p.lastStart = time.Time{}
}

// startAt returns when a request behind the given number of others is expected
// to start.
func (c *Controller) startAt(behind int, now time.Time) time.Time {
	interval := c.pace.intervalMicros
	if interval == 0 {
		interval = c.estimateIntervalMicros()
	}
	return now.Add(time.Duration(interval*float64(behind+1)) * time.Microsecond)
}

// estimateIntervalMicros estimates the interval between starts from the median
// remaining length of the running generations. Since each end of a generation
// allows one start, the interval is the mean remaining time divided by the number
// of generations. The estimate is used until an interval has been measured.
func (c *Controller) estimateIntervalMicros() float64 {
	steps := 0
	for _, r := range c.running {
		steps += c.Lengths.Remaining(r.Class, r.Account, r.Produced, medianQuantile)
	}
	count := max(len(c.running), 1)
	return float64(steps) * float64(c.StepMicros) / float64(count*count)
}

// retryAt returns when a refused request should be retried: when half of the
// queue is expected to have started.
func (c *Controller) retryAt(now time.Time) time.Time {
	at := c.startAt(len(c.waiting)/2, now)
	earliest := now.Add(retryMinMillis * time.Millisecond)
	latest := now.Add(retryMaxMillis * time.Millisecond)
	if at.Before(earliest) {
		return earliest
	}
	if at.After(latest) {
		return latest
	}
	return at
}
