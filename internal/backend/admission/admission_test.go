package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/backend/outputlength"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func afterMillis(millis int) time.Time {
	return start.Add(time.Duration(millis) * time.Millisecond)
}

// newController returns a controller whose answers are all close to 100 tokens long.
func newController() *Controller {
	lengths := &outputlength.Model{}
	for range 500 {
		lengths.Observe("programme", "gym", 100)
	}
	return &Controller{
		Policy:         DefaultPolicy(),
		CapacityTokens: 2000,
		BatchLimit:     64,
		StepMicros:     20_000,
		Lengths:        lengths,
	}
}

func request(id string) Request {
	return Request{RequestID: id, Account: "gym", Class: "programme", PromptTokens: 100}
}

func fill(b *Controller) (admitted int) {
	for i := range 100 {
		if _, ok := b.Offer(request(fmt.Sprint("fill ", i)), start).(Admit); !ok {
			b.Release(fmt.Sprint("fill ", i))
			return admitted
		}
		admitted++
	}
	return admitted
}

func TestAdmitsWhileForecastFits(t *testing.T) {
	is := is.New(t)
	b := newController()
	admitted := fill(b)
	is.True(admitted >= 7 && admitted <= 10) // 2,000 tokens at about 200 each
	is.True(b.Load().MemoryPermille <= 500)  // the prompts alone
	is.True(b.Load().ForecastPermille > 700)

	w, ok := b.Offer(request("waits"), start).(Wait)
	is.True(ok)
	is.Equal(w.Position, 1)
	is.Equal(w.Reason, ReasonMemory)
	is.Equal(len(b.Next(start)), 0)

	b.Release("fill 0")
	admits := b.Next(afterMillis(100))
	is.Equal(len(admits), 1)
	is.Equal(admits[0].RequestID, "waits")
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*Controller)
		change  func(*Request)
		want    Reason
		comes   bool
	}{
		{
			name:    "duplicate",
			prepare: func(b *Controller) { b.Offer(request("new"), start) },
			want:    ReasonDuplicate,
		},
		{
			name:   "prompt beyond the memory",
			change: func(r *Request) { r.PromptTokens = 2000 },
			want:   ReasonTooLarge,
		},
		{
			name:   "deadline out of reach",
			change: func(r *Request) { r.Deadline = afterMillis(200) },
			want:   ReasonDeadline,
			comes:  true,
		},
		{
			name: "queue full",
			prepare: func(b *Controller) {
				b.Policy.QueueLimit = 4
				fill(b)
				for i := range 4 {
					r := request(fmt.Sprint("earlier ", i))
					r.Account = fmt.Sprint("account ", i)
					b.Offer(r, start)
				}
			},
			want:  ReasonQueueFull,
			comes: true,
		},
		{
			name: "account holds its part of the queue",
			prepare: func(b *Controller) {
				b.Policy.QueueLimit = 4
				fill(b)
				b.Offer(request("earlier 0"), start)
				b.Offer(request("earlier 1"), start)
			},
			want:  ReasonAccountLimit,
			comes: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newController()
			if c.prepare != nil {
				c.prepare(b)
			}
			r := request("new")
			if c.change != nil {
				c.change(&r)
			}
			refuse, ok := b.Offer(r, start).(Refuse)
			is.True(ok)
			is.Equal(refuse.Reason, c.want)
			is.Equal(refuse.RetryAt.After(start), c.comes)
		})
	}
}

func TestSharedPrefixCountsOnce(t *testing.T) {
	is := is.New(t)
	alone := fill(newController())
	b := newController()
	for i := range 100 {
		r := request(fmt.Sprint("shared ", i))
		r.PrefixHash, r.PrefixTokens = 7, 80
		b.Offer(r, start)
	}
	is.True(b.Load().Running > alone*3/2)
	is.True(b.Load().ForecastPermille <= 1000)
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	b := newController()
	fill(b)
	r := request("waits")
	r.Deadline = afterMillis(30_000)
	_, ok := b.Offer(r, start).(Wait)
	is.True(ok)
	is.Equal(len(b.Expire(afterMillis(1000))), 0)
	expired := b.Expire(afterMillis(29_500))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].Reason, ReasonDeadline)
	is.Equal(b.Load().Waiting, 0)
}

func TestFairBetweenAccounts(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.Shares = map[string]int{"large": 3, "small": 1}
	b.BatchLimit = 1
	b.Policy.QueueLimit = 1000
	for i := range 200 {
		for _, account := range []string{"large", "small"} {
			r := request(fmt.Sprint(account, i))
			r.Account = account
			b.Offer(r, start)
		}
	}
	counts := map[string]int{}
	for range 100 {
		for _, r := range b.Running() {
			counts[r.Account]++
			is.NoErr(b.Progress(r.RequestID, 100))
			b.Release(r.RequestID)
		}
		b.Next(start)
	}
	is.True(counts["large"] >= 70 && counts["large"] <= 80)
}

func TestShortAnswersStartFirst(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.Policy.QueueLimit = 4
	for range 100 {
		b.Lengths.Observe("answer", "gym", 5)
	}
	fill(b)
	for i := range 4 {
		r := request(fmt.Sprint("long ", i))
		r.Account = fmt.Sprint("account ", i)
		b.Offer(r, start)
	}
	short := request("short")
	short.Class, short.PromptTokens = "answer", 1500
	w, ok := b.Offer(short, afterMillis(1)).(Wait)
	is.True(ok) // long requests do not keep it out
	is.Equal(w.Position, 1)
}

func TestAgeing(t *testing.T) {
	is := is.New(t)
	b := newController()
	fill(b)
	b.Offer(request("old"), start)
	high := request("new")
	high.Priority = 2
	b.Offer(high, afterMillis(3*agingMillis))
	is.Equal(b.Waiting(afterMillis(3 * agingMillis))[0].RequestID, "old")
}

func TestLargePromptIsOvertakenBoundedly(t *testing.T) {
	is := is.New(t)
	b := newController()
	b.Policy.QueueLimit = 100
	fill(b)
	large := request("large")
	large.PromptTokens = 1500
	b.Offer(large, start)
	for i := range 2 * overtakeLimit {
		b.Offer(request(fmt.Sprint("small ", i)), afterMillis(1))
	}
	overtaken := 0
	for range 2 * overtakeLimit {
		b.Release(b.Running()[0].RequestID)
		for _, admit := range b.Next(afterMillis(2)) {
			if admit.RequestID == "large" {
				is.True(overtaken <= overtakeLimit+1)
				return
			}
			overtaken++
		}
	}
	is.Fail() // the large prompt never started
}

func TestProgressOfUnknown(t *testing.T) {
	is := is.New(t)
	err := newController().Progress("unknown", 5)
	is.True(errors.Is(err, ErrNotRunning))
}

func TestPosition(t *testing.T) {
	is := is.New(t)
	b := newController()
	fill(b)
	b.Offer(request("first"), start)
	b.Offer(request("second"), afterMillis(1))
	position, startAt, ok := b.Position("second", afterMillis(2))
	is.True(ok)
	is.Equal(position, 2)
	is.True(startAt.After(afterMillis(2)))
	_, _, ok = b.Position("unknown", afterMillis(2))
	is.True(!ok)
}
