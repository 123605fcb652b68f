package serving_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

func TestAddrIsEmptyWhenRunCannotListen(t *testing.T) {
	is := is.New(t)
	l := &serving.Listener{Address: "127.0.0.1:no-port"}
	is.True(l.Run(context.Background()) != nil)
	is.Equal(l.Addr(), "")
}
