package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// testTime is the time at which the streams of the tests start.
var testTime = time.Unix(1_800_000_000, 0)

// testKey returns the identity of a key created at the given time.
func testKey(created time.Time, number byte) string {
	var id uuid.UUID
	millis := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, number
	key, err := KeyOf("account", id.String())
	if err != nil {
		panic(err)
	}
	return key
}

func TestKeyOf(t *testing.T) {
	is := is.New(t)
	v7 := uuid.Must(uuid.NewV7()).String()
	key, err := KeyOf("a", v7)
	is.NoErr(err)
	upper, err := KeyOf("a", "{"+strings.ToUpper(v7)+"}")
	is.NoErr(err)
	is.Equal(key, upper) // all spellings of a UUID are the same key
	other, err := KeyOf("b", v7)
	is.NoErr(err)
	is.True(key != other) // accounts do not share keys
	for _, bad := range []string{"", "order-17", uuid.NewString(), uuid.Nil.String()} {
		_, err := KeyOf("a", bad)
		is.True(errors.Is(err, ErrKeyMalformed))
	}
}

func TestCheckKey(t *testing.T) {
	now, oldest := testTime, testTime.Add(-time.Hour)
	cases := []struct {
		name string
		key  string
		want error
	}{
		{"now", testKey(now, 1), nil},
		{"oldest", testKey(oldest, 1), nil},
		{"too old", testKey(oldest.Add(-time.Millisecond), 1), ErrKeyExpired},
		{"clock ahead", testKey(now.Add(FutureSeconds*time.Second), 1), nil},
		{"future", testKey(now.Add((FutureSeconds+1)*time.Second), 1), ErrKeyFuture},
		{"no identity", "xyz", ErrKeyMalformed},
		{"no time", strings.Repeat("*", keyLength), ErrKeyMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).True(errors.Is(CheckKey(c.key, now, oldest), c.want))
		})
	}
}

func TestEncoding(t *testing.T) {
	is := is.New(t)
	records := []Record{
		Lease{Holder: "h", HolderAddress: "127.0.0.1:1", Epoch: "e"},
		Batch{Epoch: "e", ID: "b", Claims: []Claim{{Key: "k", RequestID: "r", Backend: "s", Incarnation: 1 << 63}}},
		Batch{Epoch: "e", ID: "b", Rebinds: []Rebind{{Claim: Claim{Key: "k", RequestID: "r"}, Refused: 7}}},
	}
	for _, r := range records {
		data, err := Encode(r)
		is.NoErr(err)
		is.Equal(Decode(data), r)
	}
	_, err := Encode(Unknown{})
	is.True(err != nil)
	is.Equal(Decode([]byte(`{"Lease":{"Epoch":"e","Later":1},"Other":2}`)), Lease{Epoch: "e"})
	is.Equal(Decode([]byte(`{"Later":{}}`)), Unknown{})
	is.Equal(Decode([]byte(`not JSON`)), Unknown{})
	is.Equal(Decode([]byte(`{"Lease":{},"Batch":{}}`)), Unknown{})
}

func TestStateVerdicts(t *testing.T) {
	is := is.New(t)
	s := NewState(3, 3600, 1)
	at := func(seconds int) time.Time { return testTime.Add(time.Duration(seconds) * time.Second) }
	key, old := testKey(testTime, 1), testKey(testTime.Add(-2*time.Hour), 2)
	batch := func(epoch, request, key string) Batch {
		return Batch{Epoch: epoch, Claims: []Claim{{Key: key, RequestID: request, Backend: "s"}}}
	}
	rebind := func(epoch, request string, refused uint64) Batch {
		return Batch{Epoch: epoch, Rebinds: []Rebind{{Claim: Claim{Key: key, RequestID: request}, Refused: refused}}}
	}
	steps := []struct {
		seconds int
		record  Record
		want    Verdict
		// request is the request to which key is bound afterwards, or empty.
		request string
	}{
		{0, batch("a", "r1", key), Rejected{Reason: NoLease}, ""},
		{0, Lease{Epoch: "a"}, Leased{Lease: Lease{Epoch: "a"}}, ""},
		{1, batch("a", "r2", old), Accepted{}, ""},
		{1, Lease{Epoch: "b"}, Leased{Lease: Lease{Epoch: "b"}}, ""},
		{2, batch("a", "r3", key), Rejected{Reason: OtherLease}, ""},
		{2, batch("b", "r4", key), Accepted{Bound: 1}, "r4"},
		{3, batch("b", "r5", key), Accepted{}, "r4"},
		{3, rebind("b", "r6", 5), Accepted{}, "r4"},
		{3, rebind("b", "r7", 6), Accepted{Bound: 1}, "r7"},
		{3, rebind("b", "r8", 6), Accepted{}, "r7"},
		{4, Unknown{}, Ignored{}, "r7"},
		{4, Lease{}, Ignored{}, "r7"},
		{LeaseSeconds + 2, rebind("b", "r9", 9), Rejected{Reason: LeaseExpired}, "r7"},
	}
	for i, c := range steps {
		is.Equal(s.Apply(uint64(i+1), at(c.seconds), c.record), c.want)
		b, _ := s.Lookup(key)
		is.Equal(b.RequestID, c.request)
	}
	is.Equal(s.Apply(3, at(0), Lease{Epoch: "a"}), Duplicate{})
	is.Equal(s.Next(), uint64(len(steps)+1))
	s.Apply(s.Next(), at(3601), Unknown{})
	_, found := s.Lookup(key)
	is.True(!found) // the key has left the window
	s.Apply(s.Next(), at(3600+180), Unknown{})
	is.Equal(s.Len(), 0) // its binding was pruned
}
