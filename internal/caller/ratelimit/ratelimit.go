// Package ratelimit admits requests at one entry host. Limiter limits the number of
// open requests of the host, limits each client account to its configured rate at
// this host, and applies the account's quota over all entry hosts (package quota).
package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/quota"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// fullRetryMillis is the retry delay reported to callers while the entry host has
// too many open requests.
const fullRetryMillis = 500

// quotaRetryMillis is the retry delay reported to callers of an account that is
// over its rate at all entry hosts together.
const quotaRetryMillis = 1000

// Limiter admits requests at one entry host. It is safe for concurrent use.
type Limiter struct {
	// MaxOpen limits the number of open requests of the entry host. It must be set
	// before use.
	MaxOpen int
	// Quota limits the rate of accounts over all entry hosts. Nil sets no such
	// limit.
	Quota *quota.Quota

	mu sync.Mutex
	// open is the number of open requests.
	open int
	// buckets holds the token bucket of each account by name.
	buckets map[string]*accountBucket
}

// accountBucket is the token bucket of one client account.
type accountBucket struct {
	limiter *rate.Limiter
	// perSecond and burst are the configured values that the limiter uses.
	perSecond float64
	burst     int
}

// Admit admits a request of the account or returns a refusal, which means that
// nothing was run. The caller must call the returned function when an admitted
// request ends; further calls of it have no effect.
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

// withinQuota reports whether the account's quota over all entry hosts admits the
// request.
func (l *Limiter) withinQuota(account operatorfile.Account, now time.Time) bool {
	if l.Quota == nil {
		return true
	}
	return l.Quota.Admit(quota.Limit{Account: account.Name, RequestsPerSecond: account.RequestsPerSecond}, now)
}

// Open returns the number of open requests.
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

// maxOpen returns the number of open requests from which a further one is refused. A
// tenth of MaxOpen is reserved for urgent requests.
func (l *Limiter) maxOpen(urgent bool) int {
	if urgent {
		return l.MaxOpen
	}
	return l.MaxOpen - l.MaxOpen/10
}

// reserve takes one token from the account's bucket. If there is none, it returns
// the time at which the next one is available, and true.
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

// bucketOf returns the account's token bucket, updated to the configured rate. The
// caller must hold mu.
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
