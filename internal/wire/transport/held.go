package transport

import (
	"context"
	"net"

	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/heldbytes"
)

const (
	// messageName names the messages of other processes in a budget.
	messageName = "message"
	// messageWeight is the memory that a byte of a message takes while the message is put together.
	messageWeight = 2
)

// heldConn is a connection whose received bytes count in a budget until they have become a message.
type heldConn struct {
	net.Conn

	held *heldbytes.Holding
	// ctx ends with the connection.
	ctx   context.Context //nolint:containedctx // its lifetime is that of the connection
	close context.CancelFunc
	// received is the number of bytes since the last message. It is used by the reader of the connection
	// and, between two messages, by their receiver.
	received *messageBytes
}

// newHeldConn returns a connection whose bytes count in the budget. With none, they do not.
func newHeldConn(conn net.Conn, memory *heldbytes.Budget) heldConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := heldConn{Conn: conn, ctx: ctx, close: cancel, received: &messageBytes{}}
	c.held = memory.Open(messageName, func() { _ = conn.Close() })
	return c
}

// Read reads bytes of a message.
func (c heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.held.Expect(heldbytes.Message, -1)
		if held := c.held.Grow(c.ctx, c.received.add(n)*messageWeight); held != nil {
			return 0, held
		}
	}
	if gaveWay := c.held.Err(); err != nil && gaveWay != nil {
		err = gaveWay
	}
	return n, err
}

// Close closes the connection and frees what it holds.
func (c heldConn) Close() error {
	c.close()
	defer c.held.Close()
	return c.Conn.Close()
}

// complete says that a message was received.
func (c heldConn) complete() {
	c.received.reset()
	c.held.Complete(0)
}

// DialHeld is like Dial. What is received of messages that are not complete counts in the budget.
func DialHeld(ctx context.Context, address string, memory *heldbytes.Budget) (drpc.Conn, error) {
	conn, err := dialCounted(ctx, address, Data)
	if err != nil {
		return nil, err
	}
	held := newHeldConn(conn, memory)
	return heldCalls{Conn: newCalls(held), conn: held}, nil
}

// heldCalls is the client side of a connection whose received bytes count.
type heldCalls struct {
	drpc.Conn

	conn heldConn
}

// Invoke runs a call with one reply.
func (c heldCalls) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	defer c.conn.complete()
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream begins a call with several messages.
func (c heldCalls) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return heldStream{Stream: stream, conn: c.conn}, nil
}

// heldStream is a stream of messages on such a connection.
type heldStream struct {
	drpc.Stream

	conn heldConn
}

// MsgRecv receives a message.
func (s heldStream) MsgRecv(message drpc.Message, enc drpc.Encoding) error {
	defer s.conn.complete()
	return s.Stream.MsgRecv(message, enc)
}
