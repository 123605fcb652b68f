package storewatcher

import (
	"math/rand/v2"
	"slices"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// The readers are ordered by address. Each one reads at those before it and passes on what it
// learns, so that the first one that reaches the store is the only one that calls it.

// isReader reports whether this host is one of the readers.
func (w *Watcher) isReader() bool {
	return slices.Contains(w.Readers, w.Address)
}

// readersBefore returns the readers at which this host reads, in their order: those before it if
// it is one, or all of them.
func (w *Watcher) readersBefore() []string {
	ordered := slices.Sorted(slices.Values(w.Readers))
	if n := slices.Index(ordered, w.Address); n >= 0 {
		return ordered[:n]
	}
	return ordered
}

// otherReaders returns the readers but this host, in their order.
func (w *Watcher) otherReaders() []string {
	return slices.DeleteFunc(slices.Sorted(slices.Values(w.Readers)), func(address string) bool { return address == w.Address })
}

// statePeerWaitMillis returns how long reads of the configuration and of the list wait at another
// entry host.
func (w *Watcher) statePeerWaitMillis() int64 {
	if w.isReader() {
		return readerWaitMillis
	}
	return peerWaitMillis
}

// sources returns the entry hosts at which the topic is read now, the preferred one first; none if
// the store is read. Hosts that are no readers share the load of all readers.
func (f *follower) sources(now boottime.Instant) []string {
	if now.Before(f.peer.directUntil) {
		return nil
	}
	if f.watcher.isReader() {
		if now.Before(f.avoidUntil) {
			return f.watcher.otherReaders()
		}
		return f.watcher.readersBefore()
	}
	readers := f.watcher.readersBefore()
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	return readers
}
