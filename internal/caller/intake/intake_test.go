package intake

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	megabyte = 1 << 20
	// testBytes is the bound of the tests.
	testBytes = 8 * megabyte
	// startAt is the time at which tests look first.
	startAt = boottime.Instant(1)
)

// caller is a connection that records whether it has given way.
type caller struct {
	gaveWay, hasUnread bool
}

func (c *caller) GiveWay()        { c.gaveWay = true }
func (c *caller) HasUnread() bool { return c.hasUnread }

// open begins a holding and fails the test if it finds no room.
func open(t *testing.T, b *Budget) (*Holding, *caller) {
	t.Helper()
	c := &caller{}
	h, ok := b.Open(t.Context(), c)
	if !ok {
		t.Fatal("a connection found no room")
	}
	return h, c
}

// largeBody begins a request with a large body, of which bytes come.
func largeBody(t *testing.T, b *Budget, bytes int64) (*Holding, *caller) {
	t.Helper()
	h, c := open(t, b)
	h.Begin()
	is.New(t).NoErr(h.body(t.Context(), bytes, bytes))
	h.Receive(int(bytes - 1))
	return h, c
}

// look lets a request ask for room for a large body at a time, and returns its error. It would wait if waits is set.
func look(h *Holding, bytes int64, now boottime.Instant) (waits bool, err error) {
	w, err := h.makeRoomFor(claim{stage: body, bytes: bytes, large: true}, now, now.AddMillis(waitMillis))
	return w.changed != nil, err
}

// TestStalledBodyGivesWay guards against bodies that stop short of their end and keep their memory, and against
// those that give way although bytes come.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	stalled, stalledCaller := largeBody(t, b, 2*megabyte)
	moving, movingCaller := largeBody(t, b, 2*megabyte)
	asking, _ := open(t, b)
	waits, err := look(asking, 3*megabyte, startAt)
	is.NoErr(err)
	is.True(waits) // nothing has stalled yet
	moving.Receive(1)
	later := startAt.AddMillis(bodyStallMillis)
	waits, err = look(asking, 3*megabyte, later)
	is.NoErr(err)
	is.True(waits) // until the other one is closed
	is.True(stalledCaller.gaveWay)
	is.True(errors.Is(stalled.Err(), ErrGaveWay))
	stalled.Close()
	waits, err = look(asking, 3*megabyte, later)
	is.NoErr(err)
	is.True(!waits)
	is.True(!movingCaller.gaveWay)
	is.Equal(b.Usage().GaveWay, int64(1))
}

// TestBodyThatWaitedHasNotStalled guards against a body that gives way as it was not read while it waited for room.
func TestBodyThatWaitedHasNotStalled(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	first, _ := largeBody(t, b, 5*megabyte)
	waiting, waitingCaller := open(t, b)
	waiting.Begin()
	waiting.Receive(100)
	waiting.stalled(startAt)
	waits, err := look(waiting, 3*megabyte, startAt)
	is.NoErr(err)
	is.True(waits)
	first.Close()
	later := startAt.AddMillis(bodyStallMillis + 1)
	waits, err = look(waiting, 3*megabyte, later)
	is.NoErr(err)
	is.True(!waits)
	asking, _ := open(t, b)
	waits, err = look(asking, 5*megabyte, later.AddMillis(1))
	is.NoErr(err)
	is.True(waits)
	is.True(!waitingCaller.gaveWay)
}

// TestWholeRequestGivesNoWay guards against a request that was read whole and is broken off for another one.
func TestWholeRequestGivesNoWay(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	handled, handledCaller := largeBody(t, b, 5*megabyte)
	is.NoErr(handled.take(t.Context(), claim{stage: whole, bytes: 5*megabyte + HandledBytes, large: true}))
	asking, _ := open(t, b)
	waits, err := look(asking, 4*megabyte, startAt)
	is.NoErr(err)
	is.True(waits)
	w, err := asking.makeRoomFor(claim{stage: body, bytes: 4 * megabyte, large: true}, startAt.AddMillis(waitMillis), startAt.AddMillis(waitMillis))
	is.True(w.changed == nil)
	is.True(errors.Is(err, ErrFull))
	is.True(!handledCaller.gaveWay)
	small, _ := open(t, b)
	small.Begin()
	_, err = small.ReadRequest(t.Context(), strings.NewReader("{}"), BodyLimits{MostBytes: testBytes, Length: 2})
	is.NoErr(err) // beside the large one
	handled.End()
	asking.Close()
	small.Close()
	handled.Close()
	is.Equal(b.Usage().UsedBytes, int64(0))
}

// TestNewConnectionHasNotStalled guards against a connection that gives way before its caller can have sent anything.
func TestNewConnectionHasNotStalled(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	handled, _ := open(t, b)
	handled.force(whole, testBytes)
	before := boottime.Now()
	_, newCaller := open(t, b)
	asking, _ := open(t, b)
	small := claim{stage: body, bytes: LargeBytes}
	_, err := asking.makeRoomFor(small, before, before.AddMillis(waitMillis))
	is.NoErr(err)
	is.True(!newCaller.gaveWay)
	later := boottime.Now().AddMillis(headStallMillis)
	_, err = asking.makeRoomFor(small, later, before.AddMillis(waitMillis))
	is.NoErr(err)
	is.True(newCaller.gaveWay)
}

// TestSmallGivesNoWayToLarge guards against connections, heads and small bodies that give way to a large body although
// only large ones are in its way.
func TestSmallGivesNoWayToLarge(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	var small []*caller
	for _, do := range []func(h *Holding){
		func(h *Holding) { h.End() },
		func(h *Holding) { h.Begin() },
		func(h *Holding) { h.force(body, LargeBytes) },
	} {
		h, c := open(t, b)
		do(h)
		small = append(small, c)
	}
	_, large := largeBody(t, b, 5*megabyte)
	asking, _ := open(t, b)
	now := boottime.Now()
	waits, err := look(asking, 5*megabyte, now)
	is.NoErr(err)
	is.True(waits) // nothing has stalled yet
	_, err = look(asking, 5*megabyte, now.AddMillis(bodyStallMillis))
	is.NoErr(err)
	is.True(large.gaveWay)
	for _, c := range small {
		is.True(!c.gaveWay)
	}
}

// TestUnreadBytesAreNoStall guards against callers that give way as the process stood still: their bytes have arrived.
func TestUnreadBytesAreNoStall(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes}
	_, unread := largeBody(t, b, 5*megabyte)
	unread.hasUnread = true
	asking, _ := open(t, b)
	now := boottime.Now()
	for _, at := range []boottime.Instant{now, now.AddMillis(bodyStallMillis)} {
		waits, err := look(asking, 5*megabyte, at)
		is.NoErr(err)
		is.True(waits)
		is.True(!unread.gaveWay)
	}
	unread.hasUnread = false
	_, err := look(asking, 5*megabyte, now.AddMillis(2*bodyStallMillis))
	is.NoErr(err)
	is.True(unread.gaveWay)
}

// TestUnreadRequestIsNotIdle guards against a caller whose next request has arrived and gives way as an idle one.
func TestUnreadRequestIsNotIdle(t *testing.T) {
	is := is.New(t)
	b := &Budget{MostBytes: testBytes, MostConnections: 2}
	next, nextCaller := open(t, b)
	next.End()
	nextCaller.hasUnread = true
	other, otherCaller := open(t, b)
	other.End()
	_, ok := b.Open(t.Context(), &caller{})
	is.True(ok)
	is.True(!nextCaller.gaveWay)
	is.True(otherCaller.gaveWay)
}

// TestReadRequest guards against a body inside the limits that finds no room in calm, as the memory is small, and
// checks that bodies end where they should.
func TestReadRequest(t *testing.T) {
	const most = 2 * testBytes
	for name, tt := range map[string]struct {
		bytes, length int64
		err           error
	}{
		"largest":                      {most, most, nil},
		"largest, length not declared": {most, -1, nil},
		"empty":                        {0, 0, nil},
		"empty, length not declared":   {0, -1, nil},
		"too large":                    {most + 1, most + 1, ErrTooLarge},
		"too large, not declared":      {most + 1, -1, ErrTooLarge},
		"shorter than declared":        {1000, 1001, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{MostBytes: testBytes}
			h, _ := open(t, b)
			h.Begin()
			data, err := h.ReadRequest(t.Context(), io.LimitReader(zeros{}, tt.bytes), BodyLimits{MostBytes: most, Length: tt.length})
			is.True(errors.Is(err, tt.err))
			if err == nil {
				is.Equal(int64(len(data)), tt.bytes)
				is.True(b.Usage().UsedBytes >= tt.bytes)
			}
			h.End()
			is.Equal(b.Usage().UsedBytes, int64(0))
		})
	}
}

// zeros is a source of bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestConnectionsAtTheirLimit checks which connection gives way to a new one.
func TestConnectionsAtTheirLimit(t *testing.T) {
	const limit = 3
	begin := func(h *Holding) { h.Begin() }
	idleAgain := func(h *Holding) { h.Begin(); h.End() }
	for name, tt := range map[string]struct {
		// each holds what the connections do, in order.
		each [limit]func(*Holding)
		// first is the connection that gives way; negative for none.
		first int
	}{
		"all new, the longest":  {[limit]func(*Holding){nil, nil, nil}, 0},
		"idle before new":       {[limit]func(*Holding){nil, idleAgain, nil}, 1},
		"idle before a head":    {[limit]func(*Holding){begin, begin, idleAgain}, 2},
		"head before new":       {[limit]func(*Holding){begin, nil, nil}, 0},
		"heads, the longest":    {[limit]func(*Holding){begin, begin, begin}, 0},
		"lingering before idle": {[limit]func(*Holding){idleAgain, (*Holding).Linger, nil}, 1},
		"all idle, the longest": {[limit]func(*Holding){idleAgain, idleAgain, idleAgain}, 0},
		"requests that are handled": {[limit]func(*Holding){
			func(h *Holding) { h.force(whole, 0) }, func(h *Holding) { h.force(whole, 0) }, func(h *Holding) { h.force(whole, 0) },
		}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{MostBytes: testBytes, MostConnections: limit}
			var callers [limit]*caller
			var holdings [limit]*Holding
			for n := range limit {
				holdings[n], callers[n] = open(t, b)
			}
			for n, do := range tt.each {
				if do != nil {
					do(holdings[n])
				}
			}
			_, ok := b.Open(t.Context(), &caller{})
			is.Equal(ok, tt.first >= 0)
			for n := range limit {
				is.Equal(callers[n].gaveWay, n == tt.first)
			}
		})
	}
}
