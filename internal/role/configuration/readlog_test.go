package configuration

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

const operatorFile = `{
  "Services": [{"Name": "front-desk", "Kind": "Plain", "Calls": [{"Method": "GET", "Path": "/tides"}]}],
  "Classes": [{"Name": "check-in", "Service": "front-desk", "Worth": 1}],
  "Accounts": [{"Name": "hall", "Share": 1, "RequestsPerSecond": 1, "Burst": 1}]
}`

func TestReadLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &standin.Store{}
	b := &Source{}
	is.NoErr(b.ReadLog(ctx, store))
	_, found := b.Latest()
	is.True(!found)

	publisher := &configversion.Publisher{Journal: store}
	changed := b.Changed()
	_, err := publisher.Publish(ctx, configversion.Change{Author: "test", ReplacesCurrent: true, Text: []byte(operatorFile)})
	is.NoErr(err)
	is.NoErr(b.ReadLog(ctx, store))
	in, found := b.Latest()
	is.True(found)
	is.Equal(in.Version, uint64(1))
	is.Equal(in.Document.Services[0].Name, "front-desk")
	<-changed

	page, err := store.Read(ctx, configversion.Stream, 1, 10)
	is.NoErr(err)
	is.Equal(len(page.Records), 1) // a read publishes no snapshot

	store.Faults.Down.Store(true)
	is.True(errors.Is(b.ReadLog(ctx, store), journal.ErrUnavailable))
}
