package relay

import (
	"sync"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

// Retries is the retry budget of one entry host. It bounds the retries of each
// service in a sliding window. Its exported fields are set before use.
type Retries struct {
	// Ratio is the number of retries allowed per first attempt. Slack is the number
	// of further retries that all entry hosts together may send in a window.
	Ratio float64
	Slack float64
	// Hosts returns the number of entry hosts that share Slack.
	Hosts func() int
	// WindowMillis is the length of the window.
	WindowMillis int64

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the times of the first attempts and of the retries of one
// service in the window, in order.
type retryWindow struct {
	firsts  []boottime.Instant
	retries []boottime.Instant
}

// CountFirst counts the first attempt of a request.
func (r *Retries) CountFirst(service string, now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service, now)
	w.firsts = append(w.firsts, now)
}

// RetryDecision says whether a retry is allowed, and by which numbers.
type RetryDecision struct {
	Allowed bool
	// Used is the number of retries of the service in the window, including this
	// one if it is allowed. Budget is the number that is allowed.
	Used   int
	Budget float64
}

// hedgeShare is the share of the budget that hedges may use up. The rest is left for failures.
const hedgeShare = 0.5

// Allow decides whether a request may be retried. A retry that is allowed is
// counted.
func (r *Retries) Allow(service string, now boottime.Instant) RetryDecision {
	return r.decide(service, now, 1, true)
}

// AllowHedge decides whether a hedge of a request may be sent. A hedge that is allowed is counted
// as a retry.
func (r *Retries) AllowHedge(service string, now boottime.Instant) RetryDecision {
	return r.decide(service, now, hedgeShare, true)
}

// CheckHedge is like AllowHedge, but counts nothing.
func (r *Retries) CheckHedge(service string, now boottime.Instant) RetryDecision {
	return r.decide(service, now, hedgeShare, false)
}

// decide decides whether a retry fits into a share of the budget, and counts it if it is to be.
func (r *Retries) decide(service string, now boottime.Instant, share float64, count bool) RetryDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service, now)
	decision := RetryDecision{Used: len(w.retries), Budget: r.budget(w)}
	if float64(decision.Used+1) > share*decision.Budget {
		return decision
	}
	decision.Allowed = true
	decision.Used++
	if count {
		w.retries = append(w.retries, now)
	}
	return decision
}

// Withdraw takes back a hedge that was counted and not sent.
func (r *Retries) Withdraw(service string, now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service, now)
	if len(w.retries) > 0 {
		w.retries = w.retries[:len(w.retries)-1]
	}
}

// budget returns the number of retries that are allowed in a window. The caller
// holds the mutex.
func (r *Retries) budget(w *retryWindow) float64 {
	return r.Ratio*float64(len(w.firsts)) + r.Slack/float64(max(r.Hosts(), 1))
}

// window returns the window of a service, without the times before its start. The
// caller holds the mutex.
func (r *Retries) window(service string, now boottime.Instant) *retryWindow {
	if r.services == nil {
		r.services = make(map[string]*retryWindow)
	}
	w, ok := r.services[service]
	if !ok {
		w = &retryWindow{}
		r.services[service] = w
	}
	start := now.AddMillis(-r.WindowMillis)
	w.firsts = after(w.firsts, start)
	w.retries = after(w.retries, start)
	return w
}

// after drops the times before start from an ordered list.
func after(list []boottime.Instant, start boottime.Instant) []boottime.Instant {
	for len(list) > 0 && list[0].Before(start) {
		list = list[1:]
	}
	return list
}
