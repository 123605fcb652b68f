package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy is the path from an entry host to a server, or to the process beside one, which can be cut.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// held is not nil while the path is silent; it is closed when that ends.
	held chan struct{}
	// channels are the connections that were passed on so far.
	channels []*atomic.Bool
}

// startProxy passes the connections to an address on to a target.
func startProxy(group *sync.WaitGroup, address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { p.pass(group, conn) })
		}
	})
	return p, nil
}

func (p *proxy) pass(group *sync.WaitGroup, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.await()
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	silent := p.newChannel()
	group.Go(func() { p.copy(other, conn, silent) })
	p.copy(conn, other, silent)
}

// newChannel notes a connection. What it returns is set when the connection goes silent for good.
func (p *proxy) newChannel() *atomic.Bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := &atomic.Bool{}
	p.channels = append(p.channels, silent)
	return silent
}

// silence makes the connections that are open go silent for good, without a reset. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.channels {
		silent.Store(true)
	}
}

// copy passes bytes on, and the end of the connection. While the path is silent it keeps both.
func (p *proxy) copy(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if silent.Load() {
			select {} // neither bytes nor the end of the connection arrive any more
		}
		if _, sent := to.Write(buffer[:n]); err != nil || sent != nil {
			return
		}
	}
}

// await waits while the path is silent.
func (p *proxy) await() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		<-held
	}
}

// hold makes the path silent, and release ends that: what was sent meanwhile then arrives.
func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.held)
	p.held = nil
}
