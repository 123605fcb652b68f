package configuration

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/configversion"
)

// noSnapshotSeconds is an age that no snapshot reaches, so that a single read of
// the log publishes none.
const noSnapshotSeconds = 10 * 365 * 24 * 3600

// Latest returns the version in force with its document. It reports false
// before the first.
func (s *Source) Latest() (configversion.Configuration, bool) { return s.register.Current() }

// Changed returns a channel that is closed at the next change of the version.
// Ask for it before Edition, so that no change is missed.
func (s *Source) Changed() <-chan struct{} { return s.register.Changed() }

// ReadLog reads the log once up to its end. When it returns without an error,
// every version that was accepted before the call is known.
func (s *Source) ReadLog(ctx context.Context, log journal.Log) error {
	reader := &configversion.Reader{
		Journal:          log,
		Register:         &s.register,
		RepublishSeconds: noSnapshotSeconds,
		Log:              s.Log,
	}
	return errors.Wrap(reader.Poll(ctx), "read the log for the version in force")
}
