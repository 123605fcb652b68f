package quota

import (
	"math"
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const (
	// averagingSeconds is the time over which a rate is estimated.
	averagingSeconds = 10
	// tolerance is the part by which an estimate may exceed the limit before
	// requests are refused, since an estimate from samples varies.
	tolerance = 1.1
	// maxMeters bounds the accounts that are estimated; more are not limited.
	maxMeters = 4096
)

// meter estimates the rate of one account by decayed counting.
type meter struct {
	// count is the decayed number of requests as of countedAt.
	count     float64
	countedAt time.Time
}

// observe adds requests and returns the estimated rate per second.
func (m *meter) observe(weight float64, now time.Time) float64 {
	if !m.countedAt.IsZero() {
		elapsed := max(0, now.Sub(m.countedAt).Seconds())
		m.count *= math.Exp(-elapsed / averagingSeconds)
	}
	m.count += weight
	m.countedAt = now
	return m.count / averagingSeconds
}

// HandleMeter takes a sample at the account's home and returns the share of
// the account's requests to admit.
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
	asked := m.observe(in.GetWeight(), now)
	admit := min(1, tolerance*limit.RequestsPerSecond/asked)
	return &message.MeterReply{AdmitPermille: uint32(math.Round(admit * permille))}
}
