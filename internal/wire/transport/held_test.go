package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

// rawMessage is a message that is encoded as its bytes.
type rawMessage struct{ bytes []byte }

type rawEncoding struct{}

func (rawEncoding) Marshal(m drpc.Message) ([]byte, error) { return m.(*rawMessage).bytes, nil }

func (rawEncoding) Unmarshal(data []byte, m drpc.Message) error {
	m.(*rawMessage).bytes = bytes.Clone(data)
	return nil
}

// echo is a handler that replies to a call with its message.
type echo struct{}

func (echo) HandleRPC(stream drpc.Stream, _ string) error {
	var m rawMessage
	if err := stream.MsgRecv(&m, rawEncoding{}); err != nil {
		return err
	}
	return stream.MsgSend(&m, rawEncoding{})
}

// endlessMessage sends a message without end over a connection: much of it at once, then nothing.
func endlessMessage(conn net.Conn) {
	const atOnceBytes, frameBytes = 3 << 20, 32 << 10
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, frameBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage,
	})
	for sent := 0; sent < atOnceBytes; sent += frameBytes {
		if _, err := conn.Write(frame); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}

// TestMessagesWithoutEnd guards against a process that exhausts its memory as many others send it messages
// without end, and against sound calls that fail beside them: as a client, and as a server.
func TestMessagesWithoutEnd(t *testing.T) {
	const processes, megabytes = 30, 16
	for _, side := range []string{"client", "server"} {
		t.Run(side, func(t *testing.T) {
			is := is.New(t)
			memory := &heldbytes.Budget{MostBytes: megabytes << 20}
			ctx, stop := context.WithCancel(t.Context())
			var group errgroup.Group
			sound, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			group.Go(func() error { return (&Server{Listener: sound, Handler: echo{}, Memory: memory}).Run(ctx) })
			odd, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			group.Go(func() error {
				for {
					conn, err := odd.Accept()
					if errors.Is(err, net.ErrClosed) {
						return nil
					}
					if err != nil {
						return err
					}
					group.Go(func() error {
						defer func() { _ = conn.Close() }()
						endlessMessage(conn)
						return nil
					})
				}
			})
			for range processes {
				if side == "server" {
					conn, err := net.Dial("tcp", sound.Addr().String())
					is.NoErr(err)
					defer func() { _ = conn.Close() }()
					invoke := drpcwire.AppendFrame(nil, drpcwire.Frame{
						Data: []byte("call"), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true,
					})
					_, err = conn.Write(invoke)
					is.NoErr(err)
					group.Go(func() error { endlessMessage(conn); return nil })
					continue
				}
				conn, err := DialHeld(ctx, odd.Addr().String(), memory)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				group.Go(func() error {
					_ = conn.Invoke(ctx, "call", rawEncoding{}, &rawMessage{}, &rawMessage{})
					return nil
				})
			}
			for until := time.Now().Add(time.Second); time.Now().Before(until); {
				is.NoErr(callSound(ctx, sound.Addr().String(), memory))
				is.True(memory.UsedBytes() <= memory.MostBytes+(processes+2)*4096)
			}
			stop()
			_ = odd.Close()
			is.NoErr(group.Wait())
		})
	}
}

// callSound runs a call with a message of some size.
func callSound(ctx context.Context, address string, memory *heldbytes.Budget) error {
	conn, err := DialHeld(ctx, address, memory)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	want := bytes.Repeat([]byte("x"), 200_000)
	var got rawMessage
	if err := conn.Invoke(ctx, "call", rawEncoding{}, &rawMessage{bytes: want}, &got); err != nil {
		return err
	}
	if !bytes.Equal(got.bytes, want) {
		return errors.Newf("got %d bytes, want %d", len(got.bytes), len(want))
	}
	return nil
}
