// Package configuration gives one process the operator file that is in force: read
// from the log where this process reads it, and heard from peers.
package configuration

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// Source is the configuration of one process. Its exported fields must be
// set before Prepare.
type Source struct {
	// Address is the peer address of this process.
	Address string
	// Journal is nil for a process that hears from peers alone.
	Journal journal.Log
	// Log writes what operators need to see.
	Log *slog.Logger
	// Readers returns how many processes read the log; used with Journal only.
	Readers func() int
	// Peers returns the peer addresses known now.
	Peers func() []string

	register  configversion.Register
	exchanger *configversion.Exchanger
	published atomic.Pointer[publishedDocument]
}

// publishedDocument is the document of one version, with an address that stays the
// same as long as the version does.
type publishedDocument struct {
	version  uint64
	document *operatorfile.Document
}

// Prepare sets up the parts that calls need. It is called once.
func (s *Source) Prepare() {
	s.exchanger = &configversion.Exchanger{
		Name:     s.Address,
		Register: &s.register,
		Peers:    peers{source: s},
		Log:      s.Log,
	}
}

// Run keeps the configuration fresh until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.exchanger.Run(ctx) })
	if s.Journal != nil {
		reader := &configversion.Reader{Journal: s.Journal, Register: &s.register, FleetSize: s.Readers, Log: s.Log}
		group.Go(func() error { return reader.Run(ctx) })
	}
	return group.Wait()
}

// Version returns the version in force, zero before the first.
func (s *Source) Version() uint64 { return s.register.Version() }

// Document returns the operator file in force, or nil before the first. The
// pointer stays the same until another version is in force.
func (s *Source) Document() *operatorfile.Document {
	version := s.register.Version()
	if version == 0 {
		return nil
	}
	current := s.published.Load()
	if current != nil && current.version >= version {
		return current.document
	}
	in, found := s.register.Current()
	if !found {
		return nil
	}
	document := in.Document
	next := &publishedDocument{version: in.Version, document: &document}
	s.published.CompareAndSwap(current, next)
	return s.published.Load().document
}

// Observe takes note that a peer held a version.
func (s *Source) Observe(version uint64, address string) {
	s.exchanger.Observe(version, address)
}

// HandleExchange answers a peer that compares versions.
func (s *Source) HandleExchange(ctx context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return s.exchanger.HandleExchange(ctx, in)
}

// peers reaches the other processes for the exchange.
type peers struct {
	source *Source
}

// Pick returns the address of a random peer.
func (p peers) Pick() (string, bool) {
	known := p.source.Peers()
	if len(known) == 0 {
		return "", false
	}
	return known[rand.IntN(len(known))], true
}

// Exchange sends a request to a peer.
func (p peers) Exchange(ctx context.Context, address string, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return transport.CallPooled(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.ExchangeReply, error) {
			return message.NewDRPCPeerClient(conn).Exchange(ctx, in)
		})
}
