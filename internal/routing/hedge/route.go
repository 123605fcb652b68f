package hedge

import (
	"container/list"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/answertime"
)

const (
	// sliceMillis is the length of a slice, and windowSlices the number of those in the window:
	// 25 to 30 s, as the current one has just begun or is about to end.
	sliceMillis  = 5000
	windowSlices = 6
	// keptSlices are those over which hedges are counted, which cover 30 s at least. First
	// attempts are counted over windowSlices. So the hedges in the 30 s before each hedge never
	// exceed the ratio of the first attempts in these, wherever slices begin.
	keptSlices = windowSlices + 1

	// quantile is the share of answers above which a call is late, in percent.
	quantile = 95
	// minAnswers is the least number of complete answers from which the quantile is estimated.
	minAnswers = 50
	// estimateMillis is the time for which an estimate is used, as the merge of all histograms
	// takes too long for each request.
	estimateMillis = 1000

	// recentWeight is the weight of the newest call in the moving average of late calls. So about
	// 16 calls count, among which a quarter is rarely late while 5 of 100 are.
	recentWeight = 1.0 / 16

	// unitMicros is the resolution of recorded times, and maxMillis the longest recorded time.
	unitMicros = 100
	maxMillis  = 120_000
)

// route holds the requests of one route. Its mutex is that of the table.
type route struct {
	// slices is a ring of the newest slices. The index of a slice is its number modulo the length.
	slices [keptSlices]slice
	// newest is the number of the current slice, counted from the start of the clock.
	newest int64
	// open holds the open calls: those that markLate has passed, then those that were counted as
	// late and postponed, then the others in the order in which they began.
	open *list.List
	// nextLate is the first open call that markLate has not passed; nil if there is none.
	nextLate *list.Element
	// late is the number of open calls that are late.
	late int
	// recentLate is a moving average of the share of ended calls that were late.
	recentLate float64
	// times holds the times of attempts in the window.
	times    *answertime.Window
	estimate estimate
	// answeredAt is the time of the newest answer.
	answeredAt boottime.Instant
}

// slice holds what happened in one slice of time.
type slice struct {
	// firsts is the number of first attempts that began, and hedges that of hedges.
	firsts int
	hedges int
}

// estimate is a quantile of the answer times of a route.
type estimate struct {
	// micros is the quantile; zero while there are too few answers.
	micros int64
	// answers is the number of complete answers.
	answers int
	// renewAt is the time from which another estimate is made.
	renewAt boottime.Instant
}

func newRoute(now boottime.Instant) *route {
	return &route{open: list.New(), newest: sliceNumber(now), times: answertime.New(windowSlices, maxUnits)}
}

func sliceNumber(now boottime.Instant) int64 {
	return int64(now) / (sliceMillis * int64(time.Millisecond))
}

// advance makes the slice of now the current one and clears those that have passed.
func (r *route) advance(now boottime.Instant) {
	number := sliceNumber(now)
	if number <= r.newest {
		return
	}
	for n := max(r.newest+1, number-keptSlices+1); n <= number; n++ {
		*r.slice(n) = slice{}
	}
	r.times.Advance(number - r.newest)
	r.newest = number
}

// slice returns the place in the ring of the slice with a number. The number is negative for slices
// before the start of the clock.
func (r *route) slice(number int64) *slice {
	return &r.slices[(number%keptSlices+keptSlices)%keptSlices]
}

func (r *route) current() *slice {
	return r.slice(r.newest)
}

// back returns the slice that lies the given number of slices before the current one.
func (r *route) back(count int64) *slice {
	return r.slice(r.newest - count)
}

// firsts returns the number of first attempts in the window.
func (r *route) firsts() int {
	sum := 0
	for n := range int64(windowSlices) {
		sum += r.back(n).firsts
	}
	return sum
}

// hedges returns the number of hedges in the window and the slice before it.
func (r *route) hedges() int {
	sum := 0
	for n := range int64(keptSlices) {
		sum += r.back(n).hedges
	}
	return sum
}

// record records the time of an attempt. Complete says that it is that of a complete answer.
func (r *route) record(micros int64, complete bool, now boottime.Instant) {
	r.times.Record(micros/unitMicros, complete)
	if complete {
		r.answeredAt = now
	}
}

// maxUnits is the longest recorded time in units.
const maxUnits = maxMillis * 1000 / unitMicros

// quantileAt returns the estimate at a time to which the route was advanced.
func (r *route) quantileAt(now boottime.Instant) estimate {
	if !now.Before(r.estimate.renewAt) {
		r.estimate = r.newEstimate(now)
	}
	return r.estimate
}

func (r *route) newEstimate(now boottime.Instant) estimate {
	e := estimate{answers: r.times.Answers(), renewAt: now.AddMillis(estimateMillis)}
	if e.answers < minAnswers {
		r.recentLate = 0
		return e
	}
	e.micros = r.times.Quantile(quantile) * unitMicros
	return e
}

// markLate counts the open calls that have become late. Each call is counted once, and again only
// after it was postponed, so a call costs constant time. A call with a longer quantile holds up
// those after it until it is late itself.
func (r *route) markLate(now boottime.Instant) {
	for r.nextLate != nil {
		c := callOf(r.nextLate)
		if c.lateAt != 0 && now.Before(c.lateAt) {
			return
		}
		if c.lateAt != 0 {
			c.late = true
			r.late++
		}
		r.nextLate = r.nextLate.Next()
	}
}

// postpone moves the time from which a call is late. A call that was counted as late no longer is,
// and is counted again once that time has passed.
func (r *route) postpone(c *Call, lateAt boottime.Instant) {
	c.lateAt = lateAt
	if !c.late {
		return
	}
	c.late = false
	r.late--
	if r.nextLate == nil {
		r.open.MoveToBack(c.element)
	} else {
		r.open.MoveBefore(c.element, r.nextLate)
	}
	r.nextLate = c.element
}

// answerAgeMillis returns the age of the newest answer, or -1 when there is none.
func (r *route) answerAgeMillis(now boottime.Instant) int64 {
	if r.answeredAt == 0 {
		return -1
	}
	return now.MillisSince(r.answeredAt)
}

// others returns the number of the other open calls, and how many of them are late.
func (r *route) others(c *Call) (open, late int) {
	open, late = r.open.Len()-1, r.late
	if c.late {
		late--
	}
	return open, late
}

// remove drops a call that has ended.
func (r *route) remove(c *Call, now boottime.Instant) {
	if c.lateAt != 0 {
		value := 0.0
		if !now.Before(c.lateAt) {
			value = 1
		}
		r.recentLate += recentWeight * (value - r.recentLate)
	}
	if r.nextLate == c.element {
		r.nextLate = c.element.Next()
	}
	r.open.Remove(c.element)
	if c.late {
		r.late--
	}
}

// callOf returns the call at an element. Elements hold nothing else.
func callOf(e *list.Element) *Call {
	c, _ := e.Value.(*Call)
	return c
}

func instantOf(micros int64) boottime.Instant {
	return boottime.Instant(micros * int64(time.Microsecond))
}

func microsSince(now, earlier boottime.Instant) int64 {
	return int64(now-earlier) / int64(time.Microsecond)
}
