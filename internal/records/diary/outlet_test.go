package diary

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// A reader that stops reading slows nothing, and what is lost is counted.
func TestOutletNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	o := NewOutlet(writer)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		o.Run(ctx)
		return nil
	})
	started := time.Now()
	const lines = 3 * burstLines
	for range lines {
		_, err := o.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(started) < time.Second) // nobody reads, nobody waits
	is.True(o.Dropped() >= lines-burstLines-linesPerSecond)
	stop()
	is.NoErr(reader.Close())
	is.NoErr(group.Wait())
}

func TestOutletWritesInOrderAndReportsLoss(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	o := NewOutlet(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := o.Write([]byte(line))
		is.NoErr(err)
	}
	o.dropped.Store(7)
	ended, stop := context.WithCancel(context.Background())
	stop()
	o.Run(ended)
	is.True(strings.HasPrefix(out.String(), "a\nb\nc\n"))
	is.True(strings.Contains(out.String(), `"Message":"log lines dropped","Total":7`))
}
