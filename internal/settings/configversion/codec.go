package configversion

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/validation"
)

const (
	// Format is the version of the rules for decoding entries and validating
	// documents. It must be incremented with every change of these rules, because
	// all readers of one format have to reach the same verdicts.
	Format = 1
	// MaxEntryBytes is the maximum size of an encoded entry, in bytes.
	MaxEntryBytes = 512 << 10

	// maxDecodedBytes is the maximum size of a decompressed entry, in bytes.
	maxDecodedBytes = validation.MaxFileBytes + 64<<10

	kindProposal = "Proposal"
	kindSnapshot = "Snapshot"
	kindRestart  = "Restart"
)

// ErrNewerFormat means that a newer program has written an entry, with rules that this
// program does not know.
var ErrNewerFormat = errors.New("entry has a newer format")

// envelope is the JSON form of an entry. An encoded entry is this JSON, compressed
// with gzip.
type envelope struct {
	Format   int
	Kind     string
	ID       string
	Author   string `json:",omitempty"`
	Replaces uint64 `json:",omitempty"`
	Version  uint64
	Through  uint64 `json:",omitempty"`
	// AnchoredAt is in nanoseconds since the Unix epoch.
	AnchoredAt int64 `json:",omitempty"`
	Document   json.RawMessage
}

// Encode returns the compressed JSON of an entry. It fails when the result is larger
// than MaxEntryBytes.
func Encode(e Entry) ([]byte, error) {
	plain, err := json.Marshal(envelopeOf(e))
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration entry")
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress configuration entry")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration entry")
	}
	if compressed.Len() > MaxEntryBytes {
		return nil, errors.Newf("configuration entry has %d bytes, the limit is %d", compressed.Len(), MaxEntryBytes)
	}
	return compressed.Bytes(), nil
}

func envelopeOf(e Entry) envelope {
	switch e := e.(type) {
	case Proposal:
		return envelope{
			Format: Format, Kind: kindProposal, ID: e.ID, Author: e.Author,
			Replaces: e.Replaces, Version: e.Version, Document: e.Document,
		}
	case Snapshot:
		return envelope{
			Format: Format, Kind: kindSnapshot, ID: e.ID, Author: e.Author,
			Version: e.Version, Through: e.Through, AnchoredAt: unixNanos(e.AnchoredAt), Document: e.Document,
		}
	case Restart:
		return envelope{
			Format: Format, Kind: kindRestart, ID: e.ID, Author: e.Author,
			Version: e.Version, Through: e.Through, Document: e.Document,
		}
	default:
		panic(errors.AssertionFailedf("unknown kind of entry: %T", e))
	}
}

// Decode is the reverse of Encode. It does not validate the document.
func Decode(data []byte) (Entry, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	var env envelope
	if err := json.Unmarshal(plain, &env); err != nil {
		return nil, errors.Wrap(err, "decode configuration entry")
	}
	if env.Format > Format {
		return nil, errors.Wrapf(ErrNewerFormat, "format %d", env.Format)
	}
	if env.Format < 1 || env.ID == "" || env.Version == 0 {
		return nil, errors.New("configuration entry lacks Format, ID or Version")
	}
	return entryOf(env)
}

func entryOf(env envelope) (Entry, error) {
	switch env.Kind {
	case kindProposal:
		return Proposal{
			ID: env.ID, Author: env.Author,
			Replaces: env.Replaces, Version: env.Version, Document: env.Document,
		}, nil
	case kindSnapshot:
		return Snapshot{
			ID: env.ID, Author: env.Author,
			Version: env.Version, Through: env.Through, AnchoredAt: fromUnixNanos(env.AnchoredAt), Document: env.Document,
		}, nil
	case kindRestart:
		return Restart{
			ID: env.ID, Author: env.Author,
			Version: env.Version, Through: env.Through, Document: env.Document,
		}, nil
	default:
		return nil, errors.Newf("unknown kind of configuration entry: %q", env.Kind)
	}
}

// unixNanos returns the time in nanoseconds since the Unix epoch, and zero for the zero
// time.
func unixNanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

// fromUnixNanos is the reverse of unixNanos.
func fromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration entry")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration entry")
	}
	if len(plain) > maxDecodedBytes {
		return nil, errors.Newf("configuration entry decompresses to more than %d bytes", maxDecodedBytes)
	}
	return plain, nil
}
