package replay

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const ampleBytes = 1 << 20

func TestStartOnce(t *testing.T) {
	is := is.New(t)
	buffer := Buffer{Backend: "draft-1", Incarnation: 7, MaxBytes: ampleBytes}
	forgetAt := time.Now().Add(time.Hour)
	entry, existing, err := buffer.Start("a", forgetAt)
	is.NoErr(err)
	is.True(!existing)
	is.Equal(entry.Sequence, uint64(1))
	is.NoErr(buffer.Append("a", 0, []string{"x"}))
	entry, existing, err = buffer.Start("a", forgetAt)
	is.NoErr(err)
	is.True(existing)
	is.Equal(entry.Position, uint64(1))
	_, _, err = buffer.Start("late", time.Now().Add(-time.Second))
	is.True(errors.Is(err, ErrExpired))
}

func TestConcurrentStartsRunOnce(t *testing.T) {
	is := is.New(t)
	buffer := Buffer{MaxBytes: ampleBytes}
	forgetAt := time.Now().Add(time.Hour)
	results := make([]bool, 16)
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			_, existing, err := buffer.Start("a", forgetAt)
			results[i] = !existing
			return err
		})
	}
	is.NoErr(group.Wait())
	started := 0
	for _, fresh := range results {
		if fresh {
			started++
		}
	}
	is.Equal(started, 1)
}

func TestAppend(t *testing.T) {
	tests := []struct {
		name     string
		position uint64
		texts    []string
		want     string
		wantErr  error
	}{
		{"next", 2, []string{"c"}, "abc", nil},
		{"overlap", 1, []string{"b", "c"}, "abc", nil},
		{"repeat", 0, []string{"a", "b"}, "ab", nil},
		{"gap", 3, []string{"d"}, "ab", ErrGap},
		{"diverged", 1, []string{"x", "c"}, "ab", ErrDiverged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			buffer := Buffer{MaxBytes: ampleBytes}
			_, _, err := buffer.Start("a", time.Now().Add(time.Hour))
			is.NoErr(err)
			is.NoErr(buffer.Append("a", 0, []string{"a", "b"}))
			err = buffer.Append("a", tt.position, tt.texts)
			is.True(errors.Is(err, tt.wantErr))
			chunk, err := buffer.Read("a", 0)
			is.NoErr(err)
			is.Equal(strings.Join(chunk.Texts, ""), tt.want)
			_, err = buffer.Read("a", 9)
			is.True(errors.Is(err, ErrOutOfRange))
		})
	}
}

func TestRefusedNeverStarts(t *testing.T) {
	is := is.New(t)
	buffer := Buffer{MaxBytes: ampleBytes}
	forgetAt := time.Now().Add(time.Hour)
	_, existing, err := buffer.Refuse("a", 4, "leaving", forgetAt)
	is.NoErr(err)
	is.True(!existing)
	entry, existing, err := buffer.Start("a", forgetAt)
	is.NoErr(err)
	is.True(existing)
	is.Equal(entry.State, Refused{Code: 4, Reason: "leaving"})
	is.True(errors.Is(buffer.Append("a", 0, []string{"x"}), ErrClosed))
	// A request that has started can't be refused.
	_, _, err = buffer.Start("b", forgetAt)
	is.NoErr(err)
	entry, existing, err = buffer.Refuse("b", 4, "leaving", forgetAt)
	is.NoErr(err)
	is.True(existing)
	is.Equal(entry.State, Open{Progress: message.GenerationState_GENERATION_STATE_WAITING})
}

func TestWaitingReadersReceiveTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 100
		buffer := Buffer{MaxBytes: ampleBytes}
		_, _, err := buffer.Start("a", time.Now().Add(time.Hour))
		is.NoErr(err)
		group, ctx := errgroup.WithContext(t.Context())
		for range 3 {
			group.Go(func() error { return readAll(ctx, &buffer, count) })
		}
		for i := range count {
			is.NoErr(buffer.Append("a", uint64(i), []string{strconv.Itoa(i)}))
			time.Sleep(time.Millisecond)
		}
		is.NoErr(buffer.Progress("a", message.GenerationState_GENERATION_STATE_PREEMPTED))
		is.NoErr(buffer.Finish("a", 1, "stop", time.Now().Add(time.Minute)))
		is.NoErr(group.Wait())
	})
}

// readAll reads an answer to its end and checks that every token arrives once and in
// order.
func readAll(ctx context.Context, buffer *Buffer, count int) error {
	next := uint64(0)
	for {
		chunk, err := buffer.Wait(ctx, "a", next)
		if err != nil {
			return err
		}
		for _, text := range chunk.Texts {
			if text != strconv.FormatUint(next, 10) {
				return errors.Newf("got token %q at position %d", text, next)
			}
			next++
		}
		if !chunk.More && next == uint64(count) {
			return nil
		}
	}
}

func TestWaitEndsWithContext(t *testing.T) {
	is := is.New(t)
	buffer := Buffer{MaxBytes: ampleBytes}
	_, _, err := buffer.Start("a", time.Now().Add(time.Hour))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = buffer.Wait(ctx, "a", 0)
	is.True(errors.Is(err, context.Canceled))
}

func TestEvictAtDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		buffer := Buffer{MaxBytes: ampleBytes}
		forgetAt := time.Now().Add(time.Hour)
		_, _, err := buffer.Start("a", forgetAt)
		is.NoErr(err)
		is.NoErr(buffer.Append("a", 0, []string{"x"}))
		is.NoErr(buffer.Finish("a", 1, "stop", time.Now().Add(time.Minute)))
		time.Sleep(time.Minute)
		is.Equal(buffer.Evict(time.Now()), 1)
		_, err = buffer.Read("a", 0)
		is.True(errors.Is(err, ErrEvicted))
		_, existing, err := buffer.Start("a", forgetAt)
		is.NoErr(err)
		is.True(existing) // the ID is kept after the texts are evicted
		time.Sleep(time.Hour)
		is.Equal(buffer.Evict(time.Now()), 1)
		is.Equal(buffer.Bytes(), int64(0))
		_, _, err = buffer.Start("a", forgetAt)
		is.True(errors.Is(err, ErrExpired))
	})
}

func TestFullBufferRefusesRequestsAndKeepsUnreadAnswers(t *testing.T) {
	is := is.New(t)
	buffer := Buffer{MaxBytes: 2 * (recordOverheadBytes + 1)}
	forgetAt := time.Now().Add(time.Hour)
	_, _, err := buffer.Start("a", forgetAt)
	is.NoErr(err)
	is.NoErr(buffer.Append("a", 0, []string{"x"}))
	is.NoErr(buffer.Finish("a", 1, "stop", forgetAt))
	_, _, err = buffer.Start("b", forgetAt)
	is.True(errors.Is(err, ErrFull)) // the answer has not been read yet
	_, err = buffer.Read("a", 0)
	is.NoErr(err)
	_, _, err = buffer.Start("b", forgetAt)
	is.NoErr(err)
	is.Equal(buffer.OpenRequests(), 1)
	_, err = buffer.Read("a", 0)
	is.True(errors.Is(err, ErrEvicted))
}

// BenchmarkAppendAndRead measures appending and reading one token.
func BenchmarkAppendAndRead(b *testing.B) {
	buffer := Buffer{MaxBytes: 1 << 40}
	frame := []string{"token"}
	_, _, err := buffer.Start("a", time.Now().Add(time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	position := uint64(0)
	for b.Loop() {
		if err := buffer.Append("a", position, frame); err != nil {
			b.Fatal(err)
		}
		if _, err := buffer.Read("a", position); err != nil {
			b.Fatal(err)
		}
		position++
	}
}
