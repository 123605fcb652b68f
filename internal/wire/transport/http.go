package transport

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerhead"
)

// maxHeadBytes bounds the head of a response of the engine or plain service, and that of a request to an HTTPServer.
const maxHeadBytes = 16 << 10

// NewTransport returns the HTTP transport for the engine or plain service beside the
// process, which reads the heads of answers strictly. It opens a new connection for
// every call: when a call fails on a reused connection that the server has just closed,
// it is unknown whether the call arrived.
func NewTransport() http.RoundTripper {
	return answerhead.Strict(newTransport())
}

func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableKeepAlives = true
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// Must panics if err is not nil. It is for errors that only a programming error can
// cause.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Listen opens a TCP listener at address, which is a host and a port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}
