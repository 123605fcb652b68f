package configuration

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
)

// noSnapshotSeconds is a snapshot age, in seconds, that is never reached. With it,
// ReadLog does not publish a snapshot.
const noSnapshotSeconds = 10 * 365 * 24 * 3600

// Latest returns the version in force with its document. It reports false if no
// version is in force yet.
func (s *Source) Latest() (configversion.Configuration, bool) { return s.register.Current() }

// Changed returns a channel that is closed at the next change of the version.
// Call it before Latest, so that no change is missed.
func (s *Source) Changed() <-chan struct{} { return s.register.Changed() }

// ReadLog reads the log once up to its end. If it returns no error, the source
// holds the newest version that was accepted before the call, or a later one.
func (s *Source) ReadLog(ctx context.Context, log journal.Log) error {
	reader := &configversion.Reader{
		Journal:          log,
		Register:         &s.register,
		RepublishSeconds: noSnapshotSeconds,
		Log:              s.Log,
	}
	return errors.Wrap(reader.Poll(ctx), "read the log for the version in force")
}
