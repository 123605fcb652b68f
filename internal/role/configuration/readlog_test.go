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
	source := &Source{}
	is.NoErr(source.ReadLog(ctx, store))
	_, found := source.Latest()
	is.True(!found)

	publisher := &configversion.Publisher{Journal: store}
	changed := source.Changed()
	_, err := publisher.Publish(ctx, configversion.Change{Author: "test", ReplacesCurrent: true, Text: []byte(operatorFile)})
	is.NoErr(err)
	is.NoErr(source.ReadLog(ctx, store))
	current, found := source.Latest()
	is.True(found)
	is.Equal(current.Version, uint64(1))
	is.Equal(current.Document.Services[0].Name, "front-desk")
	<-changed

	page, err := store.Read(ctx, configversion.Stream, 1, 10)
	is.NoErr(err)
	is.Equal(len(page.Records), 1) // ReadLog publishes no snapshot

	store.Faults.Down.Store(true)
	is.True(errors.Is(source.ReadLog(ctx, store), journal.ErrUnavailable))
}
