package journal_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/journal"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/journal"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// onBoth runs test on a store that is called directly, and on another store that
// is called over HTTP.
func onBoth(t *testing.T, test func(is *is.I, store *standin.Store, log journal.Log)) {
	t.Run("store", func(t *testing.T) {
		store := &standin.Store{}
		test(is.New(t), store, store)
	})
	t.Run("client", func(t *testing.T) {
		store := &standin.Store{}
		server := httptest.NewServer((&standin.Server{Store: store}).Handler())
		defer server.Close()
		test(is.New(t), store, &journal.Client{Address: server.Listener.Addr().String(), HTTP: server.Client()})
	})
}

// appendAll appends each record of data and requires that it succeeds.
func appendAll(is *is.I, log journal.Log, stream string, data ...string) {
	for _, d := range data {
		_, err := log.Append(context.Background(), stream, []byte(d))
		is.NoErr(err)
	}
}

func TestReadPages(t *testing.T) {
	tests := []struct {
		name        string
		retain      int
		from        uint64
		limit       int
		want        string
		first, next uint64
	}{
		{"all", 0, 1, 10, "abcd", 1, 5},
		{"from offset zero", 0, 0, 10, "abcd", 1, 5},
		{"limit", 0, 2, 2, "bc", 1, 5},
		{"tail", 0, 5, 10, "", 1, 5},
		{"beyond the tail", 0, 50, 10, "", 1, 5},
		{"expired", 2, 1, 10, "cd", 3, 5},
		{"limit zero", 0, 1, 0, "", 1, 5},
		{"negative limit", 0, 1, -1, "", 1, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(is *is.I, store *standin.Store, log journal.Log) {
				store.RetainRecords = tt.retain
				appendAll(is, log, "claims/3", "a", "b", "c", "d")
				appendAll(is, log, "claims", "other")
				page, err := log.Read(context.Background(), "claims/3", tt.from, tt.limit)
				is.NoErr(err)
				is.Equal(page.First, tt.first)
				is.Equal(page.Next, tt.next)
				var got strings.Builder
				for i, record := range page.Records {
					is.Equal(record.Offset, max(tt.from, tt.first)+uint64(i))
					got.Write(record.Data)
				}
				is.Equal(got.String(), tt.want)
			})
		})
	}
}

func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(*standin.Store)
		want   error
		effect bool
	}{
		{"answer lost", func(s *standin.Store) { s.Faults.LoseAnswers.Store(1) }, journal.ErrUnknown, true},
		{"down after effect", func(s *standin.Store) { s.Faults.FailAfterEffect.Store(1) }, journal.ErrUnavailable, true},
		{"down", func(s *standin.Store) { s.Faults.Down.Store(true) }, journal.ErrUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(is *is.I, store *standin.Store, log journal.Log) {
				appendAll(is, log, "s", "a")
				tt.fault(store)
				offset, err := log.Append(context.Background(), "s", []byte("b"))
				is.True(errors.Is(err, tt.want))
				is.Equal(offset, uint64(0))
				store.Faults.Down.Store(false)
				page, err := log.Read(context.Background(), "s", 2, 1)
				is.NoErr(err)
				is.Equal(len(page.Records) == 1, tt.effect)
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	onBoth(t, func(is *is.I, store *standin.Store, log journal.Log) {
		var seconds atomic.Int64
		store.Now = func() time.Time { return time.Unix(seconds.Load(), 0) }
		store.AppendsPerSecond = 2
		_, err := log.Append(context.Background(), "s", make([]byte, standin.MaxRecordBytes+1))
		is.True(errors.Is(err, journal.ErrRefused))
		appendAll(is, log, "s", "a", "b")
		_, err = log.Append(context.Background(), "s", []byte("c"))
		is.True(errors.Is(err, journal.ErrThrottled))
		seconds.Add(1)
		appendAll(is, log, "s", "d")
		page, err := log.Read(context.Background(), "s", 1, 10)
		is.NoErr(err)
		is.Equal(page.Next, uint64(4))
	})
}

func TestPageOfLargeRecordsIsBounded(t *testing.T) {
	onBoth(t, func(is *is.I, _ *standin.Store, log journal.Log) {
		large := strings.Repeat("x", standin.MaxRecordBytes)
		appendAll(is, log, "s", large, large, large, large, large, large)
		from := uint64(1)
		for range 2 {
			page, err := log.Read(context.Background(), "s", from, standin.MaxPageRecords)
			is.NoErr(err)
			from += uint64(len(page.Records))
		}
		is.Equal(from, uint64(7))
	})
}

func TestRetentionByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &standin.Store{RetainSeconds: 60}
		appendAll(is, store, "s", "a")
		time.Sleep(40 * time.Second)
		appendAll(is, store, "s", "b")
		time.Sleep(21 * time.Second)
		page, err := store.Read(t.Context(), "s", 1, 10)
		is.NoErr(err)
		is.Equal(page.First, uint64(2))
		is.Equal(len(page.Records), 1)
		time.Sleep(time.Minute)
		page, err = store.Read(t.Context(), "s", 1, 10)
		is.NoErr(err)
		is.Equal(page, journal.Page{First: 3, Next: 3})
	})
}

// TestLateEffect checks that, with LateEffects set, a cancelled append takes effect when
// its delay ends, although a read before that does not return its record. A client must
// not take the missing record as proof that the append failed.
func TestLateEffect(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &standin.Store{}
			store.Faults.LateEffects.Store(late)
			store.Faults.SlowMillis.Store(5000)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := store.Append(ctx, "s", []byte("a"))
			is.True(errors.Is(err, journal.ErrUnknown))
			is.True(errors.Is(err, context.DeadlineExceeded))
			store.Faults.SlowMillis.Store(0)
			page, err := store.Read(t.Context(), "s", 1, 10)
			is.NoErr(err)
			is.Equal(len(page.Records), 0)
			time.Sleep(4 * time.Second)
			page, err = store.Read(t.Context(), "s", 1, 10)
			is.NoErr(err)
			is.Equal(len(page.Records) == 1, late)
		})
	}
}

func TestDialFailureIsUnavailable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	client := &journal.Client{Address: server.Listener.Addr().String()}
	server.Close()
	_, err := client.Append(t.Context(), "s", nil)
	is.True(errors.Is(err, journal.ErrUnavailable))
	_, err = client.Read(t.Context(), "s", 1, 1)
	is.True(errors.Is(err, journal.ErrUnavailable))
}
