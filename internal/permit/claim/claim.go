// Package claim decides which request an idempotency key is bound to. Keys are hashed
// over partitions, each of which has a stream in the platform's log. Package
// leaseholder writes the streams: a Lease record makes one entry host the holder of
// the partition, and the Batch records of the holder contain the claims, which are
// requests to bind a key. State applies the records of one stream in order. It holds
// the bindings and returns a Verdict on each record.
//
// The package has no I/O, no clock and no goroutines: every verdict depends only on
// the records, their offsets and the times at which the log appended them, so that
// every reader of the stream reaches the same verdicts. Expired keys and leases are
// determined from the append times.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// DefaultPartitions is the default number of partitions over which keys are
	// hashed.
	DefaultPartitions = 64
	// FutureSeconds is how far a key's time may be ahead of the time at which the key
	// is checked.
	FutureSeconds = 60
	// LeaseSeconds is how long a lease record is valid after the log appended it. A
	// batch that the log appended later is rejected.
	LeaseSeconds = 600
	// ClockMarginSeconds is the most by which the log's append times may step
	// back.
	ClockMarginSeconds = 60
)

const (
	// timeBytes is the length of the timestamp, in milliseconds, at the start of
	// a UUIDv7.
	timeBytes = 6
	// hashBytes is the length of the truncated hash of account and key.
	hashBytes = 12
	keyBytes  = timeBytes + hashBytes
	// keyLength is the length of a key identity in base64.
	keyLength = keyBytes / 3 * 4
)

var (
	// ErrKeyMalformed means that a key is not a UUIDv7.
	ErrKeyMalformed = errors.New("idempotency key is not a UUID of version 7")
	// ErrKeyExpired means that a key is older than the key window.
	ErrKeyExpired = errors.New("idempotency key is older than the key window")
	// ErrKeyFuture means that a key's time is too far in the future.
	ErrKeyFuture = errors.New("idempotency key is from the future")
)

// KeyOf returns the identity of a client account's idempotency key: the key's time
// in milliseconds, followed by a hash of account and key, in base64. All spellings
// of a UUID have the same identity. It fails with ErrKeyMalformed.
func KeyOf(account, key string) (string, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return "", errors.Wrapf(ErrKeyMalformed, "parse: %v", err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", errors.Wrapf(ErrKeyMalformed, "version %d", int(id.Version()))
	}
	sum := sha256.Sum256(append([]byte(account), id[:]...))
	var identity [keyBytes]byte
	copy(identity[:], id[:timeBytes])
	copy(identity[timeBytes:], sum[:])
	return base64.RawURLEncoding.EncodeToString(identity[:]), nil
}

// TimeOf returns the time that a key identity contains. It fails with
// ErrKeyMalformed.
func TimeOf(key string) (time.Time, error) {
	if len(key) != keyLength {
		return time.Time{}, errors.Wrapf(ErrKeyMalformed, "identity of %d characters", len(key))
	}
	var identity [keyBytes]byte
	if _, err := base64.RawURLEncoding.Decode(identity[:], []byte(key)); err != nil {
		return time.Time{}, errors.Wrapf(ErrKeyMalformed, "decode identity: %v", err)
	}
	var millis [8]byte
	copy(millis[8-timeBytes:], identity[:timeBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:]))), nil
}

// CheckKey checks that a key identity may be used at the time now. Keys created
// before oldest have expired. It fails with ErrKeyMalformed, ErrKeyExpired or
// ErrKeyFuture.
func CheckKey(key string, now, oldest time.Time) error {
	created, err := TimeOf(key)
	if err != nil {
		return err
	}
	if created.Before(oldest) {
		return ErrKeyExpired
	}
	if created.After(now.Add(FutureSeconds * time.Second)) {
		return ErrKeyFuture
	}
	return nil
}

// OldestKeyTime returns the time of the oldest key that may be used at the time now.
// The key window is the maximum age of a key that may be used.
func OldestKeyTime(now time.Time, keyWindowSeconds int) time.Time {
	return now.Add(-time.Duration(keyWindowSeconds) * time.Second)
}

// Horizon returns the append time before which records have no effect on keys that
// may be used at the time now. The retention of the log must reach back beyond it.
func Horizon(now time.Time, keyWindowSeconds int) time.Time {
	const margin = (FutureSeconds + LeaseSeconds + ClockMarginSeconds) * time.Second
	return OldestKeyTime(now, keyWindowSeconds).Add(-margin)
}

// PartitionOf returns the partition of a key identity. All entry hosts must use
// the same number of partitions.
func PartitionOf(key string, partitions int) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(max(partitions, 1)))
}

// StreamOf returns the name of a partition's log stream.
func StreamOf(partition uint32) string {
	return "claims-" + strconv.FormatUint(uint64(partition), 10)
}
