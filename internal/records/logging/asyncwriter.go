package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queuedLines is the maximum number of lines queued for a slow reader.
	queuedLines = 2048
	// linesPerSecond is the maximum sustained rate of lines, and burstLines the
	// maximum number of lines in a burst.
	linesPerSecond = 1000
	burstLines     = 4000
	// dropReportMillis is the interval between reports of dropped lines.
	dropReportMillis = 1000
)

// AsyncWriter is a log writer that never blocks its callers and limits the number
// of lines. Lines over the limits are dropped and counted.
type AsyncWriter struct {
	// Writer is the destination of the lines. It is set before the first use.
	Writer io.Writer

	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	return &AsyncWriter{
		Writer:  w,
		lines:   make(chan []byte, queuedLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
	}
}

// Write queues one line or drops it. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes queued lines until ctx ends and then writes the remaining ones. It
// reports the number of dropped lines in the log itself.
func (w *AsyncWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportMillis * time.Millisecond)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-ticker.C:
			reported = w.reportDropped(reported)
		case <-ctx.Done():
			w.drain()
			w.reportDropped(reported)
			return
		}
	}
}

// drain writes the remaining queued lines.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			return
		}
	}
}

// emit writes one line. A line that fails to be written counts as dropped.
func (w *AsyncWriter) emit(line []byte) {
	if _, err := w.Writer.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// reportDropped logs the total number of dropped lines if it differs from the
// number reported before, and returns the number reported last.
func (w *AsyncWriter) reportDropped(reported int64) int64 {
	dropped := w.Dropped()
	if dropped == reported {
		return reported
	}
	w.emit(fmt.Appendf(nil, "{\"Time\":%q,\"Level\":\"WARN\",\"Message\":\"log lines dropped\",\"Total\":%d}\n",
		time.Now().Format(time.RFC3339Nano), dropped))
	return dropped
}
