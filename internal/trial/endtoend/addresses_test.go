package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

const (
	// firstPort and lastPort bound the allocated ports. They lie below the
	// ephemeral ports that the kernel assigns to outgoing connections, so that a
	// restarted process finds its port free.
	firstPort = 20000
	lastPort  = 32000
	// maxIPs bounds the IP addresses that are tried for one pool.
	maxIPs = 100
)

// addressPool allocates ports on one loopback IP address. The IP address belongs to the pool
// until the test ends, as the pool listens on firstPort of it, which it allocates to no one.
// So every other port of it is free.
type addressPool struct {
	t    *testing.T
	ip   string
	port int
}

func newAddressPool(t *testing.T) *addressPool {
	t.Helper()
	var config net.ListenConfig
	for range maxIPs {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		holder, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, firstPort))
		if err != nil {
			t.Logf("IP address of another pool: %v", err)
			continue
		}
		t.Cleanup(func() { _ = holder.Close() })
		return &addressPool{t: t, ip: ip, port: firstPort}
	}
	t.Fatalf("no IP address is free after %d tries", maxIPs)
	return nil
}

// next returns an address that it returns only once. The port is not tried out: a process
// that is being started would hold the listening socket for a moment after its close.
func (a *addressPool) next() string {
	a.t.Helper()
	if a.port++; a.port >= lastPort {
		a.t.Fatalf("all ports on %s between %d and %d are allocated", a.ip, firstPort, lastPort)
	}
	return fmt.Sprintf("%s:%d", a.ip, a.port)
}
