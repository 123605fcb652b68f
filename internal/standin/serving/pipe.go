package serving

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Pipe connects clients to a handler in the same process without a network. It is
// for tests in virtual time, which cannot wait for network I/O. Its client reaches
// the pipe under every address.
type Pipe struct {
	once sync.Once
	// accepted carries the server's end of each connection.
	accepted chan net.Conn
	closing  sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

var _ net.Listener = (*Pipe)(nil)

// Serve serves handler until ctx ends, then closes all connections.
func (p *Pipe) Serve(ctx context.Context, handler http.Handler) error {
	return serve(ctx, p, handler)
}

// Client returns a client whose connections all go through the pipe. A test must
// close the client's idle connections at its end.
func (p *Pipe) Client() *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dial(ctx) }
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// Accept waits for the next connection.
func (p *Pipe) Accept() (net.Conn, error) {
	p.init()
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close makes the pipe refuse all further connections.
func (p *Pipe) Close() error {
	p.init()
	p.closing.Do(func() { close(p.closed) })
	return nil
}

// Addr returns the address, which is the same for every pipe.
func (p *Pipe) Addr() net.Addr {
	return pipeAddr{}
}

func (p *Pipe) dial(ctx context.Context) (net.Conn, error) {
	p.init()
	client, server := net.Pipe()
	select {
	case p.accepted <- server:
		return client, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Net: pipeNetwork, Addr: p.Addr(), Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dial pipe")
	}
}

func (p *Pipe) init() {
	p.once.Do(func() {
		p.accepted = make(chan net.Conn)
		p.closed = make(chan struct{})
	})
}

const pipeNetwork = "pipe"

type pipeAddr struct{}

func (pipeAddr) Network() string { return pipeNetwork }

func (pipeAddr) String() string { return pipeNetwork }
