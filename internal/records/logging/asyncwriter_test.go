package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// TestAsyncWriterNeverBlocks checks that a reader that stops reading does not block
// Write, and that the dropped lines are counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	w := NewAsyncWriter(writer)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		w.Run(ctx)
		return nil
	})
	started := time.Now()
	const lines = 3 * burstLines
	for range lines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < time.Second) // Write does not wait for the reader
	is.True(w.Dropped() >= lines-burstLines-linesPerSecond)
	stop()
	is.NoErr(reader.Close())
	is.NoErr(group.Wait())
}

func TestAsyncWriterKeepsOrderAndReportsDroppedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	w.dropped.Store(7)
	ended, stop := context.WithCancel(context.Background())
	stop()
	w.Run(ended)
	is.True(strings.HasPrefix(out.String(), "a\nb\nc\n"))
	is.True(strings.Contains(out.String(), `"Message":"log lines dropped","Total":7`))
}

// BenchmarkLogLine measures the log line of one request, both when it is written
// and when it is dropped because the rate exceeds the limit.
func BenchmarkLogLine(b *testing.B) {
	for name, limit := range map[string]rate.Limit{"written": rate.Inf, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			writer := NewAsyncWriter(io.Discard)
			writer.limiter = rate.NewLimiter(limit, 0)
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				writer.Run(ctx)
				return nil
			})
			log, err := New(writer, Settings{Level: "Info", Format: FormatJSON})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				log.Info("placed", "Request", "9c41d07be2a35f68", "Route", "r-4gb539y", "Account", "jarun", "Version", 7, "Millis", 12,
					"Server", "i-7f3a91c2", "Candidates", 11, "Tokens", 3400, "UsedTokens", 21_000, "ReportMillis", 80)
			}
			stop()
			_ = group.Wait()
		})
	}
}
