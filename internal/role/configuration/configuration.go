// Package configuration keeps the operator file that is in force up to date in one
// process. The process receives new versions from the log, if it reads the log, and
// from its peers.
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
	// Journal is the log that holds the versions. It is nil for a process that
	// receives versions from its peers only.
	Journal journal.Log
	// Log receives messages for operators.
	Log *slog.Logger
	// Readers returns the number of processes that read the log, including this
	// one. It is used only if Journal is set.
	Readers func() int
	// Peers returns the known peer addresses.
	Peers func() []string

	register  configversion.Register
	exchanger *configversion.Exchanger
	published atomic.Pointer[publishedDocument]
}

// publishedDocument is the document of one version. It is shared, so that all
// callers of Document get the same pointer as long as the version is in force.
type publishedDocument struct {
	version  uint64
	document *operatorfile.Document
}

// Prepare sets up the version exchange with peers. It must be called once, before
// Run, Observe and HandleExchange.
func (s *Source) Prepare() {
	s.exchanger = &configversion.Exchanger{
		Name:     s.Address,
		Register: &s.register,
		Peers:    peers{source: s},
		Log:      s.Log,
	}
}

// Run updates the configuration until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.exchanger.Run(ctx) })
	if s.Journal != nil {
		reader := &configversion.Reader{Journal: s.Journal, Register: &s.register, FleetSize: s.Readers, Log: s.Log}
		group.Go(func() error { return reader.Run(ctx) })
	}
	return group.Wait()
}

// Version returns the version in force, or zero if there is none yet.
func (s *Source) Version() uint64 { return s.register.Version() }

// Document returns the operator file in force, or nil if there is none yet. It
// returns the same pointer until another version is in force.
func (s *Source) Document() *operatorfile.Document {
	version := s.register.Version()
	if version == 0 {
		return nil
	}
	current := s.published.Load()
	if current != nil && current.version >= version {
		return current.document
	}
	latest, found := s.register.Current()
	if !found {
		return nil
	}
	document := latest.Document
	next := &publishedDocument{version: latest.Version, document: &document}
	s.published.CompareAndSwap(current, next)
	return s.published.Load().document
}

// Observe records that the peer at address held a version, so that a newer version
// is fetched from it.
func (s *Source) Observe(version uint64, address string) {
	s.exchanger.Observe(version, address)
}

// HandleExchange handles a version exchange that a peer started.
func (s *Source) HandleExchange(ctx context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return s.exchanger.HandleExchange(ctx, in)
}

// peers implements configversion.Peers for a source.
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

// Exchange sends a version exchange to the peer at address.
func (p peers) Exchange(ctx context.Context, address string, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return transport.CallPooled(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.ExchangeReply, error) {
			return message.NewDRPCPeerClient(conn).Exchange(ctx, in)
		})
}
