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
)

// addressPool allocates free ports on one loopback IP address. The IP address
// is random, so that deployments of parallel tests do not collide.
type addressPool struct {
	t    *testing.T
	ip   string
	port int
}

func newAddressPool(t *testing.T) *addressPool {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	return &addressPool{t: t, ip: ip, port: firstPort}
}

// next returns an address whose port was free when it was checked. The port is
// not reserved.
func (a *addressPool) next() string {
	a.t.Helper()
	var config net.ListenConfig
	for a.port < lastPort {
		a.port++
		address := fmt.Sprintf("%s:%d", a.ip, a.port)
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	a.t.Fatalf("no free port on %s between %d and %d", a.ip, firstPort+1, lastPort)
	return ""
}
