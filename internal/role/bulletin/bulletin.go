// Package bulletin gives one process the operator file that is in force: read
// from the log where this process reads it, and heard from peers.
package bulletin

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/edition"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/line"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

// Bulletin is the configuration of one process. Its exported fields must be
// set before Prepare.
type Bulletin struct {
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

	register  edition.Register
	exchanger *edition.Exchanger
	published atomic.Pointer[published]
}

// published is the document of one version, with an address that stays the
// same as long as the version does.
type published struct {
	version  uint64
	document *agreement.Document
}

// Prepare sets up the parts that calls need. It is called once.
func (b *Bulletin) Prepare() {
	b.exchanger = &edition.Exchanger{
		Name:     b.Address,
		Register: &b.register,
		Peers:    peers{bulletin: b},
		Log:      b.Log,
	}
}

// Run keeps the configuration fresh until ctx ends.
func (b *Bulletin) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.exchanger.Run(ctx) })
	if b.Journal != nil {
		reader := &edition.Reader{Journal: b.Journal, Register: &b.register, FleetSize: b.Readers, Log: b.Log}
		group.Go(func() error { return reader.Run(ctx) })
	}
	return group.Wait()
}

// Version returns the version in force, zero before the first.
func (b *Bulletin) Version() uint64 { return b.register.Version() }

// Document returns the operator file in force, or nil before the first. The
// pointer stays the same until another version is in force.
func (b *Bulletin) Document() *agreement.Document {
	version := b.register.Version()
	if version == 0 {
		return nil
	}
	current := b.published.Load()
	if current != nil && current.version >= version {
		return current.document
	}
	in, found := b.register.Current()
	if !found {
		return nil
	}
	document := in.Document
	next := &published{version: in.Version, document: &document}
	b.published.CompareAndSwap(current, next)
	return b.published.Load().document
}

// Observe takes note that a peer held a version.
func (b *Bulletin) Observe(version uint64, address string) {
	b.exchanger.Observe(version, address)
}

// HandleExchange answers a peer that compares versions.
func (b *Bulletin) HandleExchange(ctx context.Context, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return b.exchanger.HandleExchange(ctx, in)
}

// peers reaches the other processes for the exchange.
type peers struct {
	bulletin *Bulletin
}

// Pick returns the address of a random peer.
func (p peers) Pick() (string, bool) {
	known := p.bulletin.Peers()
	if len(known) == 0 {
		return "", false
	}
	return known[rand.IntN(len(known))], true
}

// Exchange sends a request to a peer.
func (p peers) Exchange(ctx context.Context, address string, in *message.ExchangeRequest) (*message.ExchangeReply, error) {
	return line.CallKept(ctx, address,
		func(ctx context.Context, conn drpc.Conn) (*message.ExchangeReply, error) {
			return message.NewDRPCPeerClient(conn).Exchange(ctx, in)
		})
}
