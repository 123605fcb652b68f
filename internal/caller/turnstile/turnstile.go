// Package turnstile limits the requests of client accounts at one entry host:
// none takes more than its whole rate here, nor more than its share of it.
package turnstile

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
)

// fullRetryMillis is the time after which a full entry host is worth another try.
const fullRetryMillis = 500

// quotaRetryMillis is the time after which an account over its rate is worth
// another try.
const quotaRetryMillis = 1000

// Turnstile admits requests at one entry host. It is safe for concurrent use.
type Turnstile struct {
	// MaxOpen bounds the open requests of the entry host; set before use.
	MaxOpen int
	// Quota holds accounts to their rate over all entry hosts; nil does not.
	Quota *quota.Quota

	mu       sync.Mutex
	open     int
	limiters map[string]*limiter
}

// limiter is the token bucket of one client account.
type limiter struct {
	bucket *rate.Limiter
	// perSecond and burst are the configured values that the bucket was made from.
	perSecond float64
	burst     int
}

// Enter admits a request of the account. The caller calls the returned
// function once when the request ends. A refusal means that nothing was run.
func (t *Turnstile) Enter(account agreement.Account, urgent bool, now time.Time) (func(), *receipt.Result) {
	if !t.withinQuota(account, now) {
		return nil, receipt.New(receipt.RateLimited, "client account %s is over its rate at all entry hosts together", account.Name).
			WithRetryAt(now.Add(quotaRetryMillis * time.Millisecond))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit(urgent) {
		return nil, receipt.New(receipt.EntryFull, "entry host has %d open requests", t.open).
			WithRetryAt(now.Add(fullRetryMillis * time.Millisecond))
	}
	if retryAt, limited := t.reserve(account, now); limited {
		return nil, receipt.New(receipt.RateLimited, "client account %s is over its rate", account.Name).
			WithRetryAt(retryAt)
	}
	t.open++
	return sync.OnceFunc(t.leave), nil
}

// withinQuota asks for the account's share of the rate over all entry hosts.
func (t *Turnstile) withinQuota(account agreement.Account, now time.Time) bool {
	if t.Quota == nil {
		return true
	}
	return t.Quota.Admit(quota.Limit{Account: account.Name, RequestsPerSecond: account.RequestsPerSecond}, now)
}

// Open returns the count of open requests.
func (t *Turnstile) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

func (t *Turnstile) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

// limit keeps a tenth of the places for urgent requests.
func (t *Turnstile) limit(urgent bool) int {
	if urgent {
		return t.MaxOpen
	}
	return t.MaxOpen - t.MaxOpen/10
}

// reserve takes one request from the account's bucket, or returns when the
// next one is due.
func (t *Turnstile) reserve(account agreement.Account, now time.Time) (time.Time, bool) {
	if account.RequestsPerSecond <= 0 {
		return time.Time{}, false
	}
	reservation := t.limiter(account).bucket.ReserveN(now, 1)
	due := now.Add(reservation.DelayFrom(now))
	if !due.After(now) {
		return time.Time{}, false
	}
	reservation.CancelAt(now)
	return due, true
}

func (t *Turnstile) limiter(account agreement.Account) *limiter {
	if t.limiters == nil {
		t.limiters = make(map[string]*limiter)
	}
	perSecond := account.RequestsPerSecond
	current, ok := t.limiters[account.Name]
	if !ok {
		current = &limiter{
			bucket:    rate.NewLimiter(rate.Limit(perSecond), account.Burst),
			perSecond: perSecond,
			burst:     account.Burst,
		}
		t.limiters[account.Name] = current
		return current
	}
	if current.perSecond != perSecond || current.burst != account.Burst {
		current.bucket.SetLimit(rate.Limit(perSecond))
		current.bucket.SetBurst(account.Burst)
		current.perSecond = perSecond
		current.burst = account.Burst
	}
	return current
}
