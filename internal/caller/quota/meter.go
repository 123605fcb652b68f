package quota

import (
	"math"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// averagingSeconds is the time constant of the decaying average by which a
	// rate is estimated.
	averagingSeconds = 10
	// tolerance is the ratio of estimated rate to limit above which requests are
	// refused. It is above 1 because an estimate from samples varies.
	tolerance = 1.1
	// maxMeters limits the number of accounts whose rate is estimated. Accounts
	// beyond it are not limited.
	maxMeters = 4096
)

// meter estimates the request rate of one account as an exponentially decaying
// average.
type meter struct {
	// count is the decayed number of requests at the time countedAt.
	count     float64
	countedAt time.Time
}

// observe adds weight requests and returns the estimated rate per second.
func (m *meter) observe(weight float64, now time.Time) float64 {
	if !m.countedAt.IsZero() {
		elapsed := max(0, now.Sub(m.countedAt).Seconds())
		m.count *= math.Exp(-elapsed / averagingSeconds)
	}
	m.count += weight
	m.countedAt = now
	return m.count / averagingSeconds
}

// HandleMeter records a sample at the account's home and returns the share of the
// account's requests that entry hosts should admit.
func (q *Quota) HandleMeter(in *message.MeterRequest, now time.Time) *message.MeterReply {
	q.once.Do(q.prepare)
	limit := q.LimitOf(in.GetAccount())
	if limit.RequestsPerSecond <= 0 {
		return &message.MeterReply{AdmitPermille: permille}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	m, known := q.meters[in.GetAccount()]
	if !known && len(q.meters) >= maxMeters {
		return &message.MeterReply{AdmitPermille: permille}
	}
	if !known {
		m = &meter{}
		q.meters[in.GetAccount()] = m
	}
	offered := m.observe(in.GetWeight(), now)
	admit := min(1, tolerance*limit.RequestsPerSecond/offered)
	return &message.MeterReply{AdmitPermille: uint32(math.Round(admit * permille))}
}
