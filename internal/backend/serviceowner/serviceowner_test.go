package serviceowner

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/crashreport"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const incarnation = 7

// fakeService is a plain service that waits for release before it replies.
type fakeService struct {
	release chan struct{}
	calls   chan string
	body    []byte
	err     error
}

func (s *fakeService) Call(_ context.Context, r plainservice.Request) (plainservice.Reply, error) {
	s.calls <- r.RequestID
	<-s.release
	return plainservice.Reply{Status: 201, ContentType: "application/json", Body: s.body}, s.err
}

// newOwner returns an Owner that does not run yet.
func newOwner(s *fakeService) *Owner {
	buffer := &replay.Buffer{Backend: "desk-1", Incarnation: incarnation, MaxBytes: 16 << 20}
	o := &Owner{
		Crashes: &crashreport.Reports{Backend: "b"},
		Settings: process.Backend{
			Name: "desk-1", MaxRunning: 2, HoldSeconds: 60, RememberSeconds: 3600, HeartbeatMillis: 1000,
		},
		PermitChecker: &permitcheck.Checker{Backend: "desk-1", Incarnation: incarnation, Replay: buffer, RememberSeconds: 3600},
		Replay:        buffer,
		Service:       s,
		ConfigVersion: func() uint64 { return 1 },
		VersionSeen:   func(uint64, string) {},
		Log:           slog.New(slog.DiscardHandler),
	}
	o.Prepare()
	return o
}

// start runs an Owner until the test ends.
func start(t *testing.T, s *fakeService) *Owner {
	t.Helper()
	o := newOwner(s)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return o.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return o
}

func newFakeService() *fakeService {
	return &fakeService{release: make(chan struct{}), calls: make(chan string, 8), body: []byte("{}")}
}

// nonIdempotentCall returns a non-idempotent call with its permit.
func nonIdempotentCall() *message.CallRequest {
	id := uuid.Must(uuid.NewV7()).String()
	return &message.CallRequest{
		RequestId: id, Method: "POST", Path: "/bookings",
		Permit: &message.Permit{Backend: "desk-1", Incarnation: incarnation, RequestId: id},
	}
}

// TestCallContinuesWithoutItsConnection: a call whose connection breaks still runs to
// its end, and only once. Its reply is kept for retries.
func TestCallContinuesWithoutItsConnection(t *testing.T) {
	is := is.New(t)
	s := newFakeService()
	o := start(t, s)
	in := nonIdempotentCall()
	broken, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		reply := o.reply(broken, in)
		is.Equal(resultcode.Code(reply.GetCode()), resultcode.NotHeld)
		return nil
	})
	is.Equal(<-s.calls, in.GetRequestId())
	cancel()
	is.NoErr(group.Wait())
	close(s.release)
	for range 2 {
		reply := o.reply(context.Background(), in)
		is.Equal(reply.GetHttpStatus(), uint32(201))
	}
	is.Equal(len(s.calls), 0)
}

func TestRefusals(t *testing.T) {
	other := nonIdempotentCall()
	other.Permit.Incarnation++
	old := nonIdempotentCall()
	old.RequestId = "01890000-0000-7000-8000-000000000000"
	old.Permit.RequestId = old.GetRequestId()
	tests := []struct {
		name         string
		give         *message.CallRequest
		leaving      bool
		wantCode     resultcode.Code
		wantRecorded bool
	}{
		{"permit of another incarnation", other, false, resultcode.NotOwner, true},
		{"leaving", nonIdempotentCall(), true, resultcode.Leaving, true},
		{"leaving, idempotent", &message.CallRequest{RequestId: "r", Repeatable: true}, true, resultcode.Leaving, false},
		{"expired request ID", old, false, resultcode.KeyExpired, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeService()
			o := start(t, s)
			if tt.leaving {
				o.Leave()
			}
			reply := o.reply(context.Background(), tt.give)
			is.Equal(resultcode.Code(reply.GetCode()), tt.wantCode)
			is.Equal(reply.GetRecorded(), tt.wantRecorded)
			is.Equal(len(s.calls), 0)
		})
	}
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name     string
		body     []byte
		err      error
		wantCode resultcode.Code
		// wantRecorded means that the idempotency key may be bound to another
		// incarnation.
		wantRecorded bool
	}{
		{"request not sent", nil, plainservice.ErrRefused, resultcode.EngineRefused, true},
		{"connection broken", nil, plainservice.ErrBroken, resultcode.ReplyLost, true},
		{"reply too large", bytes.Repeat([]byte("x"), transport.MaxBodyBytes+1), nil, resultcode.ReplyLost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeService()
			s.body, s.err = tt.body, tt.err
			close(s.release)
			o := start(t, s)
			reply := o.reply(context.Background(), nonIdempotentCall())
			is.Equal(resultcode.Code(reply.GetCode()), tt.wantCode)
			is.Equal(reply.GetRecorded(), tt.wantRecorded)
		})
	}
}

// TestUnsentCallAtTheEndIsRefused guards against a call that is admitted as the process ends, and that gets
// no answer or counts as one that may have run, although it was not sent.
func TestUnsentCallAtTheEndIsRefused(t *testing.T) {
	for _, admittedFirst := range []bool{true, false} {
		is := is.New(t)
		s := newFakeService()
		close(s.release)
		o := newOwner(s)
		ended, end := context.WithCancel(context.Background())
		end()
		if !admittedFirst {
			is.NoErr(o.background.Run(ended))
		}
		in := nonIdempotentCall()
		is.Equal(o.admit(in, time.Now()), nil)
		is.NoErr(o.Run(ended))
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		defer stop()
		reply := o.reply(ctx, in)
		is.Equal(resultcode.Code(reply.GetCode()), resultcode.Leaving)
		is.True(reply.GetRecorded())
		is.Equal(len(s.calls), 0)
	}
}
