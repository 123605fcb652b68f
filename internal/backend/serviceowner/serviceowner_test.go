package serviceowner

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/permitcheck"
	"github.com/fulmarvalve/fulmarvalve/internal/backend/replay"
	"github.com/fulmarvalve/fulmarvalve/internal/platform/plainservice"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

const incarnation = 7

// fakeService is a plain service that waits before it answers.
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

// start runs an owner until the test ends.
func start(t *testing.T, s *fakeService) *Owner {
	t.Helper()
	book := &replay.Buffer{Backend: "desk-1", Incarnation: incarnation, MaxBytes: 16 << 20}
	p := &Owner{
		Settings: process.Backend{
			Name: "desk-1", MaxRunning: 2, HoldSeconds: 60, RememberSeconds: 3600, HeartbeatMillis: 1000,
		},
		PermitChecker: &permitcheck.Checker{Backend: "desk-1", Incarnation: incarnation, Replay: book, RememberSeconds: 3600},
		Replay:        book,
		Service:       s,
		ConfigVersion: func() uint64 { return 1 },
		VersionSeen:   func(uint64, string) {},
		Log:           slog.New(slog.DiscardHandler),
	}
	p.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return p
}

func newFakeService() *fakeService {
	return &fakeService{release: make(chan struct{}), calls: make(chan string, 8), body: []byte("{}")}
}

// nonRetryableCall returns a call that may not be repeated, with its permit.
func nonRetryableCall() *message.CallRequest {
	id := uuid.Must(uuid.NewV7()).String()
	return &message.CallRequest{
		RequestId: id, Method: "POST", Path: "/bookings",
		Permit: &message.Permit{Backend: "desk-1", Incarnation: incarnation, RequestId: id},
	}
}

// TestCallGoesOnWithoutItsConnection proves that a call runs once though the
// connection that brought it breaks, and that its reply is held.
func TestCallGoesOnWithoutItsConnection(t *testing.T) {
	is := is.New(t)
	s := newFakeService()
	p := start(t, s)
	in := nonRetryableCall()
	broken, cut := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		reply := p.reply(broken, in)
		is.Equal(resultcode.Code(reply.GetCode()), resultcode.NotHeld)
		return nil
	})
	is.Equal(<-s.calls, in.GetRequestId())
	cut()
	is.NoErr(group.Wait())
	close(s.release)
	for range 2 {
		reply := p.reply(context.Background(), in)
		is.Equal(reply.GetHttpStatus(), uint32(201))
	}
	is.Equal(len(s.calls), 0)
}

func TestRefusals(t *testing.T) {
	other := nonRetryableCall()
	other.Permit.Incarnation++
	old := nonRetryableCall()
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
		{"leaving", nonRetryableCall(), true, resultcode.Leaving, true},
		{"leaving, repeatable", &message.CallRequest{RequestId: "r", Repeatable: true}, true, resultcode.Leaving, false},
		{"old identity", old, false, resultcode.KeyExpired, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeService()
			p := start(t, s)
			if tt.leaving {
				p.Leave()
			}
			reply := p.reply(context.Background(), tt.give)
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
		// wantRecorded tells that the key may be bound anew.
		wantRecorded bool
	}{
		{"never sent", nil, plainservice.ErrRefused, resultcode.EngineRefused, true},
		{"broken", nil, plainservice.ErrBroken, resultcode.ReplyLost, true},
		{"too large", bytes.Repeat([]byte("x"), transport.MaxBodyBytes+1), nil, resultcode.ReplyLost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeService()
			s.body, s.err = tt.body, tt.err
			close(s.release)
			p := start(t, s)
			reply := p.reply(context.Background(), nonRetryableCall())
			is.Equal(resultcode.Code(reply.GetCode()), tt.wantCode)
			is.Equal(reply.GetRecorded(), tt.wantRecorded)
		})
	}
}
