package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

const (
	// firstPort and lastPort lie below the ports that the system gives to
	// outgoing connections, so that a process can be restarted at its address.
	firstPort = 20000
	lastPort  = 32000
)

// addressPool hands out free addresses of one loopback IP number, which is
// drawn at random so that deployments keep apart.
type addressPool struct {
	t    *testing.T
	ip   string
	port int
}

func newAddressPool(t *testing.T) *addressPool {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	return &addressPool{t: t, ip: ip, port: firstPort}
}

// next returns an address that was free a moment ago.
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
	a.t.Fatalf("no free address at %s", a.ip)
	return ""
}
