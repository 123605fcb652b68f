package bulletin

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/edition"
)

// readOnlySeconds is an age that no snapshot reaches, so that a single read of
// the log publishes none.
const readOnlySeconds = 10 * 365 * 24 * 3600

// Edition returns the version in force with its document. It reports false
// before the first.
func (b *Bulletin) Edition() (edition.Edition, bool) { return b.register.Current() }

// Changed returns a channel that is closed at the next change of the version.
// Ask for it before Edition, so that no change is missed.
func (b *Bulletin) Changed() <-chan struct{} { return b.register.Changed() }

// ReadLog reads the log once up to its end. When it returns without an error,
// every version that was accepted before the call is known.
func (b *Bulletin) ReadLog(ctx context.Context, log journal.Log) error {
	reader := &edition.Reader{
		Journal:          log,
		Register:         &b.register,
		RepublishSeconds: readOnlySeconds,
		Log:              b.Log,
	}
	return errors.Wrap(reader.Poll(ctx), "read the log for the version in force")
}
