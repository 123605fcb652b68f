package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

// TestRepliesWithoutEnd guards against a process beside a plain service that exhausts its memory as the
// service sends replies without end to many calls at once, and against sound calls that fail beside them.
func TestRepliesWithoutEnd(t *testing.T) {
	is := is.New(t)
	const calls, bodyBytes = 20, 4 << 20
	memory := &heldbytes.Budget{MostBytes: 16 << 20}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = w.Write(make([]byte, 1<<20))
			return
		}
		_, _ = w.Write(make([]byte, bodyBytes))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer service.Close()
	client := &plainservice.Client{Address: strings.TrimPrefix(service.URL, "http://"), HTTP: service.Client(), Memory: memory}
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			_, err := client.Call(t.Context(), plainservice.Request{RequestID: "r", Method: http.MethodGet, Path: "/endless"})
			if err == nil {
				return errors.New("a reply without end was read")
			}
			return nil
		})
	}
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		reply, err := client.Call(t.Context(), plainservice.Request{RequestID: "s", Method: http.MethodGet, Path: "/sound"})
		is.NoErr(err)
		is.Equal(len(reply.Body), 1<<20)
		is.True(memory.UsedBytes() <= memory.MostBytes+calls*4096)
	}
	service.CloseClientConnections()
	is.NoErr(group.Wait())
	is.Equal(memory.UsedBytes(), int64(0))
}
