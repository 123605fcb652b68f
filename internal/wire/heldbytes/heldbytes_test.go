package heldbytes

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// TestYieldsBefore checks which of two pieces gives way.
func TestYieldsBefore(t *testing.T) {
	piece := func(bytes, usual int64, begunAt boottime.Instant) Piece {
		return Piece{Bytes: bytes, UsualBytes: usual, BegunAt: begunAt}
	}
	declared := func(bytes, usual int64, begunAt boottime.Instant) Piece {
		p := piece(bytes, usual, begunAt)
		p.Declared = true
		return p
	}
	for name, tt := range map[string]struct{ first, second Piece }{
		"an event beyond what is usual, a larger body that is usual": {piece(100, 16, 9), piece(5000, 8000, 1)},
		"both beyond what is usual, the older one":                   {piece(32, 16, 1), piece(64, 16, 9)},
		"both usual, the older one":                                  {piece(10, 16, 1), piece(15, 16, 9)},
		"without a declared length":                                  {piece(10, 16, 9), declared(900, 16, 1)},
		"both with a declared length, the newer one":                 {declared(10, 16, 9), declared(900, 16, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.first.yieldsBefore(tt.second))
			is.True(!tt.second.yieldsBefore(tt.first))
		})
	}
}

// hold takes the memory of an event without end, until it gives way.
func hold(b *Budget, bytes int64) (h *Holding, gaveWay context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	h = b.Open("drafts", cancel)
	h.Expect(Event, -1)
	_ = h.Grow(ctx, bytes)
	return h, ctx
}

// TestEndlessGivesWay guards against sound answers that are refused memory, as they ask for it when others
// without end have used it up.
func TestEndlessGivesWay(t *testing.T) {
	const most, event, others = 8 << 20, 1 << 20, 8
	for name, length := range map[string]int64{"declared": 3 << 20, "not declared": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{MostBytes: most}
			var group errgroup.Group
			var endless []*Holding
			for range others {
				h, gaveWay := hold(b, event)
				endless = append(endless, h)
				group.Go(func() error {
					<-gaveWay.Done()
					h.Close()
					return nil
				})
			}
			is.Equal(b.UsedBytes(), int64(most))
			for range 10 {
				sound := b.Open("looks", func() { t.Error("a sound answer gave way") })
				body, err := sound.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 3<<20)), Body, BodyLimits{MostBytes: 4 << 20, Length: length})
				is.NoErr(err)
				is.Equal(len(body), 3<<20)
				is.True(b.UsedBytes() <= most)
				sound.Close()
			}
			for _, h := range endless {
				h.giveWay()
			}
			is.NoErr(group.Wait())
			is.Equal(b.UsedBytes(), int64(0))
		})
	}
}

// TestUsualBytes checks what is usual for a part.
func TestUsualBytes(t *testing.T) {
	for name, tt := range map[string]struct {
		part    Part
		largest int64
		bytes   int64
		usual   bool
	}{
		"first body of a route":           {Body, 0, 8 << 20, true},
		"body like the others":            {Body, 3 << 20, 6 << 20, true},
		"body far beyond the others":      {Body, 2000, 1 << 20, false},
		"event of some size":              {Event, 0, 64 << 10, true},
		"event without end":               {Event, 200, 1 << 20, false},
		"head of many lines":              {Head, 900, 1 << 20, false},
		"page of the store":               {Report, 0, 4 << 20, true},
		"message without end":             {Message, 90_000, 3 << 20, false},
		"message as large as one of them": {Message, 3 << 20, 3 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(!Piece{Bytes: tt.bytes, UsualBytes: tt.part.usualBytes(tt.largest)}.isUnusual(), tt.usual)
		})
	}
}

// TestLateSoundBody guards against a large body of unknown length that gives way to smaller ones without end
// which have begun before it.
func TestLateSoundBody(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: 8 << 20}
	var endless []*Holding
	for range 10 {
		h := b.Open("looks", nil)
		h.giveWay = h.closeSoon
		h.Expect(Body, -1)
		is.NoErr(h.Grow(t.Context(), 800<<10))
		endless = append(endless, h)
	}
	sound := b.Open("looks", func() { t.Error("a sound answer gave way") })
	body, err := sound.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 5<<20)), Body, BodyLimits{MostBytes: 6 << 20, Length: -1})
	is.NoErr(err)
	is.Equal(len(body), 5<<20)
	sound.Close()
	for _, h := range endless {
		h.Close()
	}
	is.Equal(b.UsedBytes(), int64(0))
}

// closeSoon closes the holding soon, as the end of its exchange does.
func (h *Holding) closeSoon() {
	time.AfterFunc(time.Millisecond, h.Close)
}

// TestLearntSizes guards against a route whose answers are large, and whose next one counts as one without
// end beside smaller ones that are.
func TestLearntSizes(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: 8 << 20}
	first := b.Open("looks", func() {})
	_, err := first.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 3<<20)), Body, BodyLimits{MostBytes: 4 << 20, Length: -1})
	is.NoErr(err)
	first.Close()
	endless, gaveWay := hold(b, 3<<20)
	defer endless.Close()
	sound := b.Open("looks", func() { t.Error("a sound answer gave way") })
	defer sound.Close()
	sound.Expect(Body, -1)
	is.NoErr(sound.Grow(t.Context(), 4<<20))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(sound.Grow(ctx, 6<<20), context.DeadlineExceeded)) // the endless one is not closed yet
	is.True(gaveWay.Err() != nil)
	is.True(errors.Is(endless.Grow(t.Context(), 3<<20), ErrGaveWay))
	endless.Close()
	is.NoErr(sound.Grow(t.Context(), 6<<20))
}

// TestWaitsForWhatIsPassedOn guards against sound answers that give way although the memory is held by
// others that are complete and are being passed on.
func TestWaitsForWhatIsPassedOn(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: 8 << 20}
	complete := b.Open("looks", func() { t.Error("a complete answer gave way") })
	_, err := complete.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 6<<20)), Body, BodyLimits{MostBytes: 7 << 20, Length: 6 << 20})
	is.NoErr(err)
	next := b.Open("looks", func() { t.Error("a sound answer gave way") })
	defer next.Close()
	next.Expect(Body, -1)
	is.NoErr(next.Grow(t.Context(), smallBytes))
	var group errgroup.Group
	group.Go(func() error { return next.Grow(t.Context(), 4<<20) })
	time.Sleep(20 * time.Millisecond)
	complete.Close()
	is.NoErr(group.Wait())
}

// TestSmallPieces checks that what is small is held however much is in use.
func TestSmallPieces(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: 1 << 20}
	large, _ := hold(b, 1<<20)
	defer large.Close()
	small, gaveWay := hold(b, smallBytes)
	is.NoErr(gaveWay.Err())
	is.NoErr(small.Err())
	small.Close()
	is.Equal(b.UsedBytes(), int64(1<<20))
	var none *Budget
	is.NoErr(none.Open("any", func() {}).Grow(t.Context(), 1<<40))
}
