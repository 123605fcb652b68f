package endtoend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

const (
	// lateSentMillis is the time after the signal until which a request may be sent that is ended because
	// its server is still at work in the last sixth of the grace period.
	lateSentMillis = 3000
	// clockSlackMillis is what the times of callers and processes may differ by.
	clockSlackMillis = 100
)

// stopCheck is the check of one run.
type stopCheck struct {
	*stopSoak
	// arrivals holds the arrivals of each request at servers.
	arrivals map[string][]replica.Arrival
	// named holds the requests that the log of an entry host names, with the messages.
	named map[string][]string
	// counts counts the calls by how they ended.
	counts map[string]int
	// cutting holds the stops that have cut a request.
	cutting map[time.Time]bool
}

// check compares what callers and servers saw.
func (s *stopSoak) check() {
	c := &stopCheck{
		stopSoak: s, arrivals: make(map[string][]replica.Arrival), named: make(map[string][]string),
		counts: make(map[string]int), cutting: make(map[time.Time]bool),
	}
	for _, a := range s.arrivals() {
		id := a.Header.Get("Fulmarvalve-Request-Id")
		c.arrivals[id] = append(c.arrivals[id], a)
	}
	for _, arrivals := range c.arrivals {
		slices.SortFunc(arrivals, func(a, b replica.Arrival) int { return a.At.Compare(b.At) })
	}
	for _, h := range s.hosts {
		c.readLog(h.logPath)
	}
	for _, call := range s.calls.calls {
		c.checkRuns(call)
		c.checkWhole(call)
		c.checkAnswered(call)
	}
	c.checkStops()
	s.t.Logf("seed %d: %d hosts, %d engines, %d plain servers; %d calls, %d connections not accepted; %v",
		s.seed, len(s.hosts), len(s.engines), len(s.plainServices), len(s.calls.calls), s.calls.refused, c.counts)
}

// readLog notes the requests that the log of an entry host names.
func (c *stopCheck) readLog(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		c.t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	for lines.Scan() {
		var line struct{ Message, Request, Cause string }
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Request == "" {
			continue
		}
		c.named[line.Request] = append(c.named[line.Request], line.Message+line.Cause)
	}
}

// fail reports a failed call with all that is known of it.
func (c *stopCheck) fail(call *stopCall, format string, args ...any) {
	stop, ok := call.stop()
	since := "no stop"
	if ok {
		c.cutting[stop.signalledAt] = true
		since = fmt.Sprintf("relative to the signal at %s (grace %v): begun %v, sent %v, ended %v, process ended %v",
			stop.signalledAt.UTC().Format(time.RFC3339Nano), stop.grace,
			call.begunAt.Sub(stop.signalledAt), call.sentAt.Sub(stop.signalledAt), call.endedAt.Sub(stop.signalledAt), stop.endedAt.Sub(stop.signalledAt))
	}
	c.t.Errorf("%s at %s: %s\n%s, deadline %d ms, %s connection (reused %t), %d tokens; %s; status %d, error %v, %d events; log %v; arrivals %s",
		call.request.id, call.host.name, fmt.Sprintf(format, args...), call.request.target, call.request.deadlineMillis, call.mode, call.reused,
		call.request.tokens, since, call.reply.status, call.reply.err, len(call.reply.events()), c.named[call.request.id], c.describeArrivals(call))
}

// describeArrivals returns the times of the arrivals of a call relative to when it was sent.
func (c *stopCheck) describeArrivals(call *stopCall) string {
	text := ""
	for _, a := range c.arrivals[call.request.id] {
		since := func(at time.Time) string {
			if at.IsZero() {
				return "-"
			}
			return at.Sub(call.sentAt).Round(time.Millisecond).String()
		}
		text += fmt.Sprintf("[at %s ran %t answered %s disconnected %s broken %s from %q]",
			since(a.At), a.Ran, since(a.AnsweredAt), since(a.DisconnectedAt), since(a.BrokenAt), a.Header.Get("Kv-From"))
	}
	return text
}

// stop returns the stop during which the call ended, or that its connection did not outlive.
func (c *stopCall) stop() (plannedStop, bool) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	for _, stop := range c.host.stops {
		if c.endedAt.After(stop.signalledAt) && c.begunAt.Before(stop.endedAt) {
			return stop, true
		}
	}
	return plannedStop{}, false
}

// checkRuns checks that a request that may run once ran once at most, and that none ran that was
// answered as not run.
func (c *stopCheck) checkRuns(call *stopCall) {
	ran := 0
	for _, a := range c.arrivals[call.request.id] {
		if a.Ran && a.Header.Get("Kv-From") == "" {
			ran++
		}
	}
	if call.once() && ran > 1 {
		c.fail(call, "ran %d times", ran)
	}
	notRun := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if ran > 0 && slices.Contains(notRun, call.reply.status) {
		c.fail(call, "ran and was answered as not run")
	}
}

// checkWhole checks that a reply that looks complete is complete, and that all others are the begin of one.
func (c *stopCheck) checkWhole(call *stopCall) {
	if call.reply.status != http.StatusOK {
		return
	}
	if call.request.tokens == 0 {
		if call.reply.err == nil && call.reply.body != plainBody {
			c.fail(call, "looks complete with body %q", call.reply.body)
		}
		return
	}
	events, all := call.reply.events(), eventNumbers(call.request.tokens/eventTokens)
	if call.reply.err == nil && !slices.Equal(events, all) {
		c.fail(call, "looks complete without all events")
	}
	if len(events) > len(all) || !slices.Equal(events, all[:len(events)]) {
		c.fail(call, "events %v are not the first ones in order", events)
	}
}

// checkAnswered checks that a call which reached a server, or which the host has read, was answered, unless
// one of the allowed reasons holds.
func (c *stopCheck) checkAnswered(call *stopCall) {
	arrivals, reply := c.arrivals[call.request.id], call.reply
	answered := reply.err == nil
	ending := c.excuse(call)
	label := fmt.Sprintf("%d", reply.status)
	switch {
	case answered && reply.status < http.StatusInternalServerError:
	case answered && reply.status == http.StatusServiceUnavailable:
	case answered && ending == "":
		label += " although its server answers"
		c.fail(call, "got a failure that its server did not cause")
	case answered:
		label += " as " + ending
	case len(arrivals) == 0 && len(c.named[call.request.id]) == 0:
		label = c.unanswered(call)
	case ending == "":
		label = "cut"
		c.fail(call, "cut")
	case ending == lastSixth && reply.status == 0:
		label = "cut without an answer at the end"
		c.fail(call, "not answered at the end of the grace period")
	default:
		label += " cut as " + ending
	}
	c.counts[label]++
}

// Reasons for which a call may end with a failure.
const (
	serverBroke    = "its server broke off"
	serverRefused  = "its server refused"
	deadlinePassed = "its deadline passed"
	lastSixth      = "its server was at work in the last sixth"
	heldUp         = "the machine held the host up beyond its grace period"
)

// excuse returns the reason for which a call may end with a failure; empty if there is none.
func (c *stopCheck) excuse(call *stopCall) string {
	const lastShare = 5.0 / 6
	if call.endedAt.Sub(call.begunAt) >= time.Duration(call.request.deadlineMillis-clockSlackMillis)*time.Millisecond {
		return deadlinePassed
	}
	arrivals := c.arrivals[call.request.id]
	stop, stopped := call.stop()
	lastAt := stop.signalledAt.Add(time.Duration(lastShare * float64(stop.grace)))
	atWork, cut := false, false
	for _, a := range arrivals {
		cut = cut || !a.DisconnectedAt.IsZero()
		if a.Ran && a.BrokenAt.IsZero() && endsAfter(a, lastAt) {
			atWork = true
		}
	}
	if n := len(arrivals); n > 0 && !cut {
		switch last := arrivals[n-1]; {
		case !last.Ran:
			return serverRefused
		case !last.BrokenAt.IsZero():
			return serverBroke
		}
	}
	if stopped && stop.outlived() && call.endedAt.Sub(stop.signalledAt) > stop.grace {
		return heldUp
	}
	late := call.sentAt.Sub(stop.signalledAt) > lateSentMillis*time.Millisecond
	if stopped && atWork && !late && call.endedAt.After(lastAt) {
		return lastSixth
	}
	return ""
}

// endsAfter reports whether a server was at work on a request at a time or later.
func endsAfter(a replica.Arrival, at time.Time) bool {
	return (a.AnsweredAt.IsZero() || a.AnsweredAt.After(at)) && (a.DisconnectedAt.IsZero() || a.DisconnectedAt.After(at))
}

// outlived reports whether the process outlived its grace period, which checkStops judges.
func (p plannedStop) outlived() bool {
	return p.endedAt.Sub(p.signalledAt) > p.grace
}

// unanswered says how a call ended that reached no server and has no answer.
func (c *stopCheck) unanswered(call *stopCall) string {
	how := call.reply.err.Error()
	switch {
	case errors.Is(call.reply.err, errNotReached):
		return "not read, pipelined behind the last answer"
	case errors.Is(call.reply.err, syscall.ECONNRESET):
		how = "reset"
	case errors.Is(call.reply.err, os.ErrDeadlineExceeded):
		how = "silence"
	}
	connection := "new"
	if call.reused {
		connection = "used"
	}
	phase := "outside a stop"
	if stop, ok := call.stop(); ok {
		phase = fmt.Sprintf("%v before the end", stop.endedAt.Sub(call.sentAt).Truncate(500*time.Millisecond))
	}
	return fmt.Sprintf("unanswered and not sent on: %s, %s connection, all sent %t, %s, %s", call.mode, connection, !call.partial, how, phase)
}

// checkStops checks that each process ended in time and with code 0, and that it was not ready meanwhile.
// The time for which the host held the process up is not counted.
func (c *stopCheck) checkStops() {
	for _, h := range c.hosts {
		for _, stop := range h.stops {
			c.counts["stops"]++
			over := stop.endedAt.Sub(stop.signalledAt) - stop.grace
			if stop.code != 0 || over > stop.heldUp {
				c.t.Errorf("%s, signalled at %s, outlived its grace period of %v by %v, code %d, held up for %v",
					h.name, stop.signalledAt.UTC().Format(time.RFC3339Nano), stop.grace, over, stop.code, stop.heldUp)
			}
			if over > 0 {
				c.counts["stops that were held up"]++
				c.t.Logf("%s, signalled at %s, outlived its grace period of %v by %v, held up for %v",
					h.name, stop.signalledAt.UTC().Format(time.RFC3339Nano), stop.grace, over, stop.heldUp)
			}
			if ready := stop.readyAt.Sub(stop.signalledAt); ready > probeNoticeMillis*time.Millisecond+stop.heldUp {
				c.t.Errorf("%s was ready %v after its signal, held up for %v", h.name, ready, stop.heldUp)
			}
		}
	}
	c.counts["stops that failed a request"] = len(c.cutting)
}
