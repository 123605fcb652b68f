package plainservice_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/serving"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve starts an HTTP server for s and returns a client of it.
func serve(t *testing.T, s *standin.Server) *plainservice.Client {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &plainservice.Client{Address: server.Listener.Addr().String(), HTTP: server.Client()}
}

// booking returns a booking request with an ID.
func booking(id string) plainservice.Request {
	return plainservice.Request{RequestID: id, Method: http.MethodPost, Path: "/bookings", Body: []byte(`{}`), ContentType: "application/json"}
}

func TestCall(t *testing.T) {
	tests := []struct {
		name       string
		req        plainservice.Request
		fault      func(*standin.Faults)
		want       error
		status     int
		executions int
	}{
		{"booking", booking("a"), nil, nil, http.StatusOK, 1},
		{"tides", plainservice.Request{RequestID: "a", Method: http.MethodGet, Path: "/tides?day=1"}, nil, nil, http.StatusOK, 1},
		{"check-in", plainservice.Request{RequestID: "a", Method: http.MethodPost, Path: "/check-ins"}, nil, nil, http.StatusOK, 1},
		{"no such path", plainservice.Request{RequestID: "a", Method: http.MethodGet, Path: "/huts"}, nil, nil, http.StatusNotFound, 0},
		{"path to another host", plainservice.Request{RequestID: "a", Method: http.MethodGet, Path: "@127.0.0.1:1/"}, nil, plainservice.ErrRefused, 0, 0},
		{"invalid method", plainservice.Request{RequestID: "a", Method: "A B", Path: "/tides"}, nil, plainservice.ErrRefused, 0, 0},
		{"body too large", plainservice.Request{RequestID: "a", Method: http.MethodPost, Path: "/bookings", Body: make([]byte, plainservice.MaxBodyBytes+1)}, nil, plainservice.ErrRefused, 0, 0},
		{"down", booking("a"), func(f *standin.Faults) { f.Down.Store(true) }, nil, http.StatusServiceUnavailable, 0},
		{"answer lost", booking("a"), func(f *standin.Faults) { f.LoseAnswers.Store(1) }, plainservice.ErrBroken, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &standin.Server{}
			client := serve(t, s)
			_, err := client.Call(t.Context(), booking("warm")) // Opens a connection that the next call reuses.
			is.NoErr(err)
			if tt.fault != nil {
				tt.fault(&s.Faults)
			}
			reply, err := client.Call(t.Context(), tt.req)
			is.True(errors.Is(err, tt.want))
			is.Equal(reply.Status, tt.status)
			is.Equal(s.Executions("a"), tt.executions)
		})
	}
}

func TestRetriedBookingCreatesNewBooking(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{}
	client := serve(t, s)
	for number := 1; number <= 2; number++ {
		reply, err := client.Call(t.Context(), booking("a"))
		is.NoErr(err)
		is.Equal(reply.ContentType, "application/json")
		var got standin.Booking
		is.NoErr(json.Unmarshal(reply.Body, &got))
		is.Equal(got, standin.Booking{Number: number, RequestID: "a"})
	}
	is.Equal(s.Executions("a"), 2)
	is.Equal(s.Bookings(), 2)
}

func TestUnresponsiveServiceRunsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &standin.Server{}
		s.Faults.Unresponsive.Store(true)
		var pipe serving.Pipe
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return pipe.Serve(ctx, s.Handler()) })
		client := &plainservice.Client{Address: "desk", HTTP: pipe.Client()}
		call, stop := context.WithTimeout(ctx, time.Minute)
		_, err := client.Call(call, booking("a"))
		is.True(errors.Is(err, plainservice.ErrBroken))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(s.Executions("a"), 1)
		stop()
		cancel()
		is.NoErr(g.Wait())
	})
}

func TestRefusedAndBroken(t *testing.T) {
	is := is.New(t)
	redirects := httptest.NewServer(http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect))
	client := &plainservice.Client{Address: redirects.Listener.Addr().String(), HTTP: redirects.Client()}
	reply, err := client.Call(t.Context(), booking("a"))
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusTemporaryRedirect)

	redirects.Close()
	_, err = client.Call(t.Context(), booking("a"))
	is.True(errors.Is(err, plainservice.ErrRefused))

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Call(ended, booking("a"))
	is.True(errors.Is(err, plainservice.ErrRefused))
	is.True(errors.Is(err, context.Canceled))
}
