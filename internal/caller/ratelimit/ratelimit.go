// Package ratelimit limits the requests of client accounts at one entry host:
// none takes more than its whole rate here, nor more than its share of it.
package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// fullRetryMillis is the time after which a full entry host is worth another try.
const fullRetryMillis = 500

// quotaRetryMillis is the time after which an account over its rate is worth
// another try.
const quotaRetryMillis = 1000

// Limiter admits requests at one entry host. It is safe for concurrent use.
type Limiter struct {
	// MaxOpen bounds the open requests of the entry host; set before use.
	MaxOpen int
	// Quota holds accounts to their rate over all entry hosts; nil does not.
	Quota *quota.Quota

	mu      sync.Mutex
	open    int
	buckets map[string]*accountBucket
}

// accountBucket is the token bucket of one client account.
type accountBucket struct {
	limiter *rate.Limiter
	// perSecond and burst are the configured values that the bucket was made from.
	perSecond float64
	burst     int
}

// Admit admits a request of the account. The caller calls the returned
// function once when the request ends. A refusal means that nothing was run.
func (l *Limiter) Admit(account operatorfile.Account, urgent bool, now time.Time) (func(), *resultcode.Result) {
	if !l.withinQuota(account, now) {
		return nil, resultcode.New(resultcode.RateLimited, "client account %s is over its rate at all entry hosts together", account.Name).
			WithRetryAt(now.Add(quotaRetryMillis * time.Millisecond))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxOpen(urgent) {
		return nil, resultcode.New(resultcode.EntryFull, "entry host has %d open requests", l.open).
			WithRetryAt(now.Add(fullRetryMillis * time.Millisecond))
	}
	if retryAt, limited := l.reserve(account, now); limited {
		return nil, resultcode.New(resultcode.RateLimited, "client account %s is over its rate", account.Name).
			WithRetryAt(retryAt)
	}
	l.open++
	return sync.OnceFunc(l.release), nil
}

// withinQuota asks for the account's share of the rate over all entry hosts.
func (l *Limiter) withinQuota(account operatorfile.Account, now time.Time) bool {
	if l.Quota == nil {
		return true
	}
	return l.Quota.Admit(quota.Limit{Account: account.Name, RequestsPerSecond: account.RequestsPerSecond}, now)
}

// Open returns the count of open requests.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *Limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// maxOpen keeps a tenth of the places for urgent requests.
func (l *Limiter) maxOpen(urgent bool) int {
	if urgent {
		return l.MaxOpen
	}
	return l.MaxOpen - l.MaxOpen/10
}

// reserve takes one request from the account's bucket, or returns when the
// next one is due.
func (l *Limiter) reserve(account operatorfile.Account, now time.Time) (time.Time, bool) {
	if account.RequestsPerSecond <= 0 {
		return time.Time{}, false
	}
	reservation := l.bucketOf(account).limiter.ReserveN(now, 1)
	due := now.Add(reservation.DelayFrom(now))
	if !due.After(now) {
		return time.Time{}, false
	}
	reservation.CancelAt(now)
	return due, true
}

func (l *Limiter) bucketOf(account operatorfile.Account) *accountBucket {
	if l.buckets == nil {
		l.buckets = make(map[string]*accountBucket)
	}
	perSecond := account.RequestsPerSecond
	current, ok := l.buckets[account.Name]
	if !ok {
		current = &accountBucket{
			limiter:   rate.NewLimiter(rate.Limit(perSecond), account.Burst),
			perSecond: perSecond,
			burst:     account.Burst,
		}
		l.buckets[account.Name] = current
		return current
	}
	if current.perSecond != perSecond || current.burst != account.Burst {
		current.limiter.SetLimit(rate.Limit(perSecond))
		current.limiter.SetBurst(account.Burst)
		current.perSecond = perSecond
		current.burst = account.Burst
	}
	return current
}
