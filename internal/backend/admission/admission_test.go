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

// newController returns a Controller that has only observed answers of 100 tokens.
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

// fill offers requests until one is not admitted, and returns how many were.
func fill(c *Controller) (admitted int) {
	for i := range 100 {
		if _, ok := c.Offer(request(fmt.Sprint("fill ", i)), start).(Admit); !ok {
			c.Release(fmt.Sprint("fill ", i))
			return admitted
		}
		admitted++
	}
	return admitted
}

func TestAdmitsWhileForecastFits(t *testing.T) {
	is := is.New(t)
	c := newController()
	admitted := fill(c)
	is.True(admitted >= 7 && admitted <= 10) // 2,000 tokens of memory, about 200 for each generation
	is.True(c.Load().MemoryPermille <= 500)  // only the prompts are in memory yet
	is.True(c.Load().ForecastPermille > 700)

	w, ok := c.Offer(request("waits"), start).(Wait)
	is.True(ok)
	is.Equal(w.Position, 1)
	is.Equal(w.Reason, ReasonMemory)
	is.Equal(len(c.Next(start)), 0)

	c.Release("fill 0")
	admits := c.Next(afterMillis(100))
	is.Equal(len(admits), 1)
	is.Equal(admits[0].RequestID, "waits")
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name        string
		prepare     func(*Controller)
		change      func(*Request)
		want        Reason
		wantRetryAt bool
	}{
		{
			name:    "duplicate",
			prepare: func(c *Controller) { c.Offer(request("new"), start) },
			want:    ReasonDuplicate,
		},
		{
			name:   "prompt larger than the memory",
			change: func(r *Request) { r.PromptTokens = 2000 },
			want:   ReasonTooLarge,
		},
		{
			name:        "deadline cannot be met",
			change:      func(r *Request) { r.Deadline = afterMillis(200) },
			want:        ReasonDeadline,
			wantRetryAt: true,
		},
		{
			name: "queue full",
			prepare: func(c *Controller) {
				c.Policy.QueueLimit = 4
				fill(c)
				for i := range 4 {
					r := request(fmt.Sprint("earlier ", i))
					r.Account = fmt.Sprint("account ", i)
					c.Offer(r, start)
				}
			},
			want:        ReasonQueueFull,
			wantRetryAt: true,
		},
		{
			name: "account at its limit of the queue",
			prepare: func(c *Controller) {
				c.Policy.QueueLimit = 4
				fill(c)
				c.Offer(request("earlier 0"), start)
				c.Offer(request("earlier 1"), start)
			},
			want:        ReasonAccountLimit,
			wantRetryAt: true,
		},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newController()
			if tt.prepare != nil {
				tt.prepare(c)
			}
			r := request("new")
			if tt.change != nil {
				tt.change(&r)
			}
			refuse, ok := c.Offer(r, start).(Refuse)
			is.True(ok)
			is.Equal(refuse.Reason, tt.want)
			is.Equal(refuse.RetryAt.After(start), tt.wantRetryAt)
		})
	}
}

func TestSharedPrefixCountsOnce(t *testing.T) {
	is := is.New(t)
	alone := fill(newController())
	c := newController()
	for i := range 100 {
		r := request(fmt.Sprint("shared ", i))
		r.PrefixHash, r.PrefixTokens = 7, 80
		c.Offer(r, start)
	}
	is.True(c.Load().Running > alone*3/2)
	is.True(c.Load().ForecastPermille <= 1000)
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	c := newController()
	fill(c)
	r := request("waits")
	r.Deadline = afterMillis(30_000)
	_, ok := c.Offer(r, start).(Wait)
	is.True(ok)
	is.Equal(len(c.Expire(afterMillis(1000))), 0)
	expired := c.Expire(afterMillis(29_500))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].Reason, ReasonDeadline)
	is.Equal(c.Load().Waiting, 0)
}

func TestFairBetweenAccounts(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.Shares = map[string]int{"large": 3, "small": 1}
	c.BatchLimit = 1
	c.Policy.QueueLimit = 1000
	for i := range 200 {
		for _, account := range []string{"large", "small"} {
			r := request(fmt.Sprint(account, i))
			r.Account = account
			c.Offer(r, start)
		}
	}
	counts := map[string]int{}
	for range 100 {
		for _, r := range c.Running() {
			counts[r.Account]++
			is.NoErr(c.Progress(r.RequestID, 100))
			c.Release(r.RequestID)
		}
		c.Next(start)
	}
	is.True(counts["large"] >= 70 && counts["large"] <= 80)
}

func TestShortAnswersStartFirst(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.Policy.QueueLimit = 4
	for range 100 {
		c.Lengths.Observe("answer", "gym", 5)
	}
	fill(c)
	for i := range 4 {
		r := request(fmt.Sprint("long ", i))
		r.Account = fmt.Sprint("account ", i)
		c.Offer(r, start)
	}
	short := request("short")
	short.Class, short.PromptTokens = "answer", 1500
	w, ok := c.Offer(short, afterMillis(1)).(Wait)
	is.True(ok) // long requests, which start later, do not count against QueueLimit
	is.Equal(w.Position, 1)
}

func TestAgeing(t *testing.T) {
	is := is.New(t)
	c := newController()
	fill(c)
	c.Offer(request("old"), start)
	high := request("new")
	high.Priority = 2
	c.Offer(high, afterMillis(3*agingMillis))
	is.Equal(c.Waiting(afterMillis(3 * agingMillis))[0].RequestID, "old")
}

func TestLargePromptIsOvertakenBoundedly(t *testing.T) {
	is := is.New(t)
	c := newController()
	c.Policy.QueueLimit = 100
	fill(c)
	large := request("large")
	large.PromptTokens = 1500
	c.Offer(large, start)
	for i := range 2 * overtakeLimit {
		c.Offer(request(fmt.Sprint("small ", i)), afterMillis(1))
	}
	overtaken := 0
	for range 2 * overtakeLimit {
		c.Release(c.Running()[0].RequestID)
		for _, admit := range c.Next(afterMillis(2)) {
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
	c := newController()
	fill(c)
	c.Offer(request("first"), start)
	c.Offer(request("second"), afterMillis(1))
	position, startAt, ok := c.Position("second", afterMillis(2))
	is.True(ok)
	is.Equal(position, 2)
	is.True(startAt.After(afterMillis(2)))
	_, _, ok = c.Position("unknown", afterMillis(2))
	is.True(!ok)
}
