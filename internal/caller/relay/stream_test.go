package relay

import (
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Callers that leave early must not make a backend server look bad.
func TestFailedByServer(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	is.True(failedByServer(ctx, io.ErrUnexpectedEOF))
	is.True(!failedByServer(ctx, errors.Mark(io.ErrClosedPipe, errCallerGone)))
	stop()
	is.True(!failedByServer(ctx, io.ErrUnexpectedEOF))
}
