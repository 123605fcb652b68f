package transport

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/answerhead"
)

// Traffic counts the connections of one kind that this process has opened, and their
// bytes.
type Traffic struct {
	connections atomic.Int64
	sent        atomic.Int64
	received    atomic.Int64
}

// Counts is a snapshot of the counters of a Traffic.
type Counts struct {
	// Connections is the number of connections that were opened.
	Connections int64
	// SentBytes and ReceivedBytes exclude the headers of TCP and IP.
	SentBytes     int64
	ReceivedBytes int64
}

// Counts returns the current values of the counters.
func (t *Traffic) Counts() Counts {
	return Counts{
		Connections:   t.connections.Load(),
		SentBytes:     t.sent.Load(),
		ReceivedBytes: t.received.Load(),
	}
}

var (
	// Control counts calls between processes of this system that carry no callers'
	// data: probes, version exchanges, claims and requests of operators.
	Control = &Traffic{}
	// Data counts streams and calls that carry callers' data.
	Data = &Traffic{}
	// Platform counts calls to the platform's log, host list and weight store.
	Platform = &Traffic{}
)

// VarName is the expvar name of the traffic counts.
const VarName = "FulmarvalveTraffic"

// TrafficVar is an expvar.Var with the traffic counts of the process.
type TrafficVar struct{}

// String returns the counts as JSON.
func (TrafficVar) String() string {
	text, err := json.Marshal(map[string]Counts{
		"Control":  Control.Counts(),
		"Data":     Data.Counts(),
		"Platform": Platform.Counts(),
	})
	if err != nil {
		return "{}"
	}
	return string(text)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads into p.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes p.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// NewPlatformClient returns an HTTP client for one service of the platform. It reuses
// connections, and counts its traffic in Platform.
func NewPlatformClient() *http.Client {
	dialer := &net.Dialer{}
	transport := newTransport()
	transport.DisableKeepAlives = false
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(dialTimeoutMillis*time.Millisecond))
		defer stop()
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		Platform.connections.Add(1)
		return countedConn{Conn: conn, traffic: Platform}, nil
	}
	return &http.Client{Transport: answerhead.Strict(transport)}
}
