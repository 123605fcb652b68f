package relay

import (
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestFailedByServer checks that a stream that ends because of its caller or its
// deadline does not count as a failure of the backend server.
func TestFailedByServer(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	is.True(failedByServer(ctx, io.ErrUnexpectedEOF))
	is.True(!failedByServer(ctx, errors.Mark(io.ErrClosedPipe, errCallerGone)))
	stop()
	is.True(!failedByServer(ctx, io.ErrUnexpectedEOF))
}
