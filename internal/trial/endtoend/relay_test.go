package endtoend

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// direction is the direction of bytes on a relayed connection.
type direction int

const (
	toBackend direction = iota
	toEntry
	directions
)

// gate passes bytes while it is open. The zero value is open.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate is opened; nil while the gate is open.
	opened chan struct{}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// pass waits until the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// link is one relayed connection.
type link struct {
	gates [directions]gate
}

func (l *link) shut(directions ...direction) {
	for _, d := range directions {
		l.gates[d].shut()
	}
}

// relay forwards connections to target. It can silence open connections, so that
// neither bytes nor the end of the connection pass, while new connections work.
type relay struct {
	target   string
	listener net.Listener
	group    errgroup.Group

	mu sync.Mutex
	// links holds all connections that were ever accepted.
	links []*link
	conns []net.Conn
	// silentNew makes new connections silent from their start.
	silentNew bool
	// delayMillis delays each chunk of bytes.
	delayMillis atomic.Int64
}

// newRelay starts a relay that listens at address and forwards to target until the
// test ends.
func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, listener: listener}
	r.group.Go(r.accept)
	t.Cleanup(r.stop)
	return r
}

func (r *relay) accept() error {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the relay was stopped
		}
		r.group.Go(func() error {
			r.forward(near)
			return nil
		})
	}
}

// forward relays one connection until both directions have ended.
func (r *relay) forward(near net.Conn) {
	var dialer net.Dialer
	far, err := dialer.DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := r.add(near, far)
	var group errgroup.Group
	group.Go(func() error { return r.pump(far, near, &l.gates[toBackend]) })
	group.Go(func() error { return r.pump(near, far, &l.gates[toEntry]) })
	_ = group.Wait()
	_ = near.Close()
	_ = far.Close()
}

func (r *relay) add(near, far net.Conn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &link{}
	if r.silentNew {
		l.shut(toBackend, toEntry)
	}
	r.links = append(r.links, l)
	r.conns = append(r.conns, near, far)
	return l
}

// pump copies bytes and the end of the stream from one connection to the other while
// the gate is open.
func (r *relay) pump(to, from net.Conn, g *gate) error {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delayMillis.Load()) * time.Millisecond)
		g.pass()
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return err
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// silence silences the connections that are currently open, in the given directions.
func (r *relay) silence(directions ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.shut(directions...)
	}
}

// silenceNew sets whether new connections are silent from their start.
func (r *relay) silenceNew(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentNew = silent
}

// resume lets all silenced connections pass bytes again, including those that were
// held back.
func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		for d := range l.gates {
			l.gates[d].open()
		}
	}
}

// reset resets the connections that are currently open.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.conns = nil
}

// count returns the number of connections that were accepted.
func (r *relay) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

func (r *relay) stop() {
	_ = r.listener.Close()
	r.resume()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	_ = r.group.Wait()
}
