// Package quota limits the request rate of client accounts over all entry hosts
// together.
//
// Each account has a home: the live entry host that rendezvous hashing selects. Entry
// hosts report a random sample of an account's requests to its home, which
// estimates the account's rate and replies with the share of requests to admit.
// The number of samples of an account stays small, whatever its rate and the
// number of entry hosts.
//
// Quota does both parts for one entry host: Admit decides on a request, and
// HandleMeter serves the reports of the accounts whose home is this entry host.
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
	// samplesPerSecond is the rate of samples, over all entry hosts, of an
	// account whose rate equals its limit.
	samplesPerSecond = 2
	// minSampledShare is the minimum factor by which the sampling probability of an
	// account over its limit is reduced. With it, an account far over its limit is
	// still sampled.
	minSampledShare = 0.001
	// refreshMillis is how long a share from a home is used before a new one is
	// requested from the home.
	refreshMillis = 10000
	// shareTTLMillis is how long a share is valid unless a newer one replaces it.
	shareTTLMillis = 60000
	// reportTimeoutMillis limits the duration of one report to a home.
	reportTimeoutMillis = 500
	// reportQueueLength limits the number of queued reports. Further ones are
	// dropped.
	reportQueueLength = 64
	// reportSenders is the number of goroutines that send reports.
	reportSenders = 2
	// permille is the number that stands for a share of 1 on the wire.
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
	// RequestsPerSecond is the rate over all entry hosts. Zero means no limit.
	RequestsPerSecond float64
}

// Quota admits requests of client accounts at one entry host. Its exported fields
// must be set before Run is called. It is safe for concurrent use.
type Quota struct {
	// Name is the name of this entry host.
	Name string
	// Hosts returns the live entry hosts, including this one.
	Hosts func() []Host
	// LimitOf returns the configured limit of an account.
	LimitOf func(account string) Limit
	// Send sends a sample to the home at the given address.
	Send func(ctx context.Context, address string, in *message.MeterRequest) (*message.MeterReply, error)
	// Random returns a random number in [0, 1). Nil means math/rand.
	Random func() float64
	Log    *slog.Logger

	once sync.Once
	// reports is the queue of samples to send.
	reports chan report

	mu sync.Mutex
	// shares holds the last share received from the home of each account.
	shares map[string]share
	// meters holds the rate estimates of the accounts whose home is this host.
	meters map[string]*meter
}

// share is the fraction of an account's requests to admit.
type share struct {
	fraction float64
	// freshUntil is earlier than validUntil. Between the two, the share is still
	// used, but a new one is requested from the home.
	freshUntil time.Time
	validUntil time.Time
}

// report is one sample that is to be sent to the home of an account.
type report struct {
	account string
	// weight is the number of requests that the sample represents. Zero only
	// requests the share.
	weight float64
}

// Run sends the queued reports until ctx is canceled.
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

// Admit decides whether to admit one request of the account, and queues a report
// if the request is sampled. It never blocks on the network.
func (q *Quota) Admit(limit Limit, now time.Time) bool {
	q.once.Do(q.prepare)
	if limit.RequestsPerSecond <= 0 {
		return true
	}
	current := q.shareOf(limit.Account, now)
	q.sample(limit, current, now)
	return current.fraction >= 1 || q.Random() < current.fraction
}

// shareOf returns the share of the account's requests to admit. It admits all of
// them while there is no valid share from the account's home.
func (q *Quota) shareOf(account string, now time.Time) share {
	q.mu.Lock()
	defer q.mu.Unlock()
	current, known := q.shares[account]
	if !known || now.After(current.validUntil) {
		return share{fraction: 1, freshUntil: now}
	}
	return current
}

// sample decides at random whether to report a request, and queues the report. It
// reports refused requests, too, since the home estimates the rate at which the
// account sends requests, not the rate at which they are admitted. For an account
// over its limit, the sampling probability decreases with the admitted share, so that
// a flood of requests does not cause a flood of reports. If the share is below 1 and no
// longer fresh, sample queues a report even for a request that is not sampled, to get
// a new share.
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

// send sends a report to the account's home and stores the share in the reply.
func (q *Quota) send(ctx context.Context, r report) {
	request := &message.MeterRequest{Account: r.account, Weight: r.weight}
	home, found := q.home(r.account)
	if !found {
		return
	}
	reply, err := q.requestShare(ctx, home, request)
	if err != nil {
		q.Log.Debug("failed to report sample to the account's home", "Account", r.account, "Home", home.Name, "Cause", err)
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

// requestShare sends a sample to the home, which may be this entry host, and
// returns its reply.
func (q *Quota) requestShare(ctx context.Context, home Host, request *message.MeterRequest) (*message.MeterReply, error) {
	if home.Name == q.Name {
		return q.HandleMeter(request, time.Now()), nil
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(reportTimeoutMillis*time.Millisecond))
	defer stop()
	return q.Send(ctx, home.Address, request)
}

// home returns the account's home: the live entry host with the highest hash of
// account and name (rendezvous hashing). It returns false if there is no live entry
// host.
func (q *Quota) home(account string) (Host, bool) {
	var best Host
	var highest uint64
	for _, h := range q.Hosts() {
		weight := xxhash.Sum64String(account + "\x00" + h.Name)
		if best.Name == "" || weight > highest {
			best, highest = h, weight
		}
	}
	return best, best.Name != ""
}
