// Package quota holds client accounts to their configured rate over all entry
// hosts together.
//
// Each account has a home, the first live entry host in rendezvous order. Entry
// hosts report a random sample of an account's requests to its home, which
// estimates the account's rate and answers with the share to admit. The samples
// of an account stay few whatever its rate and however many entry hosts there
// are.
package quota

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// samplesPerSecond is the rate of samples of an account at its limit.
	samplesPerSecond = 2
	// minSampledShare bounds the sample of a flooding account from below.
	minSampledShare = 0.001
	// refreshMillis is how long a share that a home answered is not asked again.
	refreshMillis = 10000
	// shareTTLMillis is how long a share counts when no other one comes.
	shareTTLMillis = 60000
	// reportTimeoutMillis bounds one report.
	reportTimeoutMillis = 500
	// reportQueueLength bounds the reports that wait to be sent; more are dropped.
	reportQueueLength = 64
	// reportSenders is the number of reports that are sent at once.
	reportSenders = 2
	// permille is the number of parts of a whole.
	permille = 1000
)

// Host is a live entry host.
type Host struct {
	Name    string
	Address string
}

// Limit is the configured rate of a client account.
type Limit struct {
	Account string
	// RequestsPerSecond is the rate over all entry hosts; zero sets no limit.
	RequestsPerSecond float64
}

// Quota admits the requests of client accounts at one entry host. Its exported
// fields must be set before Run. It is safe for concurrent use.
type Quota struct {
	// Name is that of this entry host.
	Name string
	// Hosts returns the live entry hosts, this one among them.
	Hosts func() []Host
	// LimitOf returns the configured limit of an account.
	LimitOf func(account string) Limit
	// Send reports a sample to the home at the address.
	Send func(ctx context.Context, address string, in *message.MeterRequest) (*message.MeterReply, error)
	// Random returns a number from [0, 1); nil means math/rand.
	Random func() float64
	Log    *slog.Logger

	once    sync.Once
	reports chan report
	mu      sync.Mutex
	// shares holds what homes answered.
	shares map[string]share
	// meters holds the estimates of the accounts whose home is here.
	meters map[string]*meter
}

// share is the part of an account's requests to admit.
type share struct {
	fraction float64
	// freshUntil is before until; between the two the share is asked again.
	freshUntil time.Time
	validUntil time.Time
}

// report is one sample on its way to a home.
type report struct {
	account string
	// weight is the number of requests that the sample stands for; zero asks
	// for the share alone.
	weight float64
}

// Run sends the reports until ctx ends.
func (q *Quota) Run(ctx context.Context) error {
	q.once.Do(q.prepare)
	group, ctx := errgroup.WithContext(ctx)
	for range reportSenders {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case r := <-q.reports:
					q.send(ctx, r)
				}
			}
		})
	}
	return group.Wait()
}

func (q *Quota) prepare() {
	q.reports = make(chan report, reportQueueLength)
	q.shares = make(map[string]share)
	q.meters = make(map[string]*meter)
	if q.Random == nil {
		q.Random = rand.Float64
	}
}

// Admit decides on one request of the account, and reports it where it falls
// into the sample. It never waits.
func (q *Quota) Admit(limit Limit, now time.Time) bool {
	q.once.Do(q.prepare)
	if limit.RequestsPerSecond <= 0 {
		return true
	}
	current := q.shareOf(limit.Account, now)
	q.sample(limit, current, now)
	return current.fraction >= 1 || q.Random() < current.fraction
}

// shareOf returns the part of the account's requests to admit, all of them
// while no home has answered.
func (q *Quota) shareOf(account string, now time.Time) share {
	q.mu.Lock()
	defer q.mu.Unlock()
	current, known := q.shares[account]
	if !known || now.After(current.validUntil) {
		return share{fraction: 1, freshUntil: now}
	}
	return current
}

// sample queues a report for a random part of the requests. Refused requests
// are reported too, since the home estimates what the account asks for. Over
// the limit the part shrinks, so that a flood brings no flood of reports; a
// share that is no longer fresh is asked for again with the next request.
func (q *Quota) sample(limit Limit, current share, now time.Time) {
	probability := min(1, samplesPerSecond/limit.RequestsPerSecond*max(current.fraction, minSampledShare))
	refresh := current.fraction < 1 && now.After(current.freshUntil)
	sampled := q.Random() < probability
	if !sampled && !refresh {
		return
	}
	r := report{account: limit.Account}
	if sampled {
		r.weight = 1 / probability
	}
	select {
	case q.reports <- r:
	default:
	}
}

// send reports to the account's home and keeps the share that it answers.
func (q *Quota) send(ctx context.Context, r report) {
	request := &message.MeterRequest{Account: r.account, Weight: r.weight}
	home, found := q.home(r.account)
	if !found {
		return
	}
	reply, err := q.requestShare(ctx, home, request)
	if err != nil {
		q.Log.Debug("sample not taken by its home", "Account", r.account, "Home", home.Name, "Cause", err)
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares[r.account] = share{
		fraction:   float64(reply.GetAdmitPermille()) / permille,
		freshUntil: now.Add(refreshMillis * time.Millisecond),
		validUntil: now.Add(shareTTLMillis * time.Millisecond),
	}
}

func (q *Quota) requestShare(ctx context.Context, home Host, request *message.MeterRequest) (*message.MeterReply, error) {
	if home.Name == q.Name {
		return q.HandleMeter(request, time.Now()), nil
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(reportTimeoutMillis*time.Millisecond))
	defer stop()
	return q.Send(ctx, home.Address, request)
}

// home returns the first live entry host in rendezvous order.
func (q *Quota) home(account string) (Host, bool) {
	var first Host
	var highest uint64
	for _, h := range q.Hosts() {
		weight := xxhash.Sum64String(account + "\x00" + h.Name)
		if first.Name == "" || weight > highest {
			first, highest = h, weight
		}
	}
	return first, first.Name != ""
}
