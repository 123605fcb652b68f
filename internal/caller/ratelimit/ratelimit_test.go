package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

func TestAdmitEnforcesAccountRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := &Limiter{MaxOpen: 100}
	account := operatorfile.Account{Name: "club", RequestsPerSecond: 1, Burst: 1}

	_, refusal := limiter.Admit(account, false, now)
	is.True(refusal == nil)
	_, refusal = limiter.Admit(account, false, now)
	is.Equal(refusal.Code, resultcode.RateLimited)
	is.Equal(refusal.RetryAt, now.Add(time.Second))
	_, refusal = limiter.Admit(account, false, now.Add(time.Second))
	is.True(refusal == nil)
}

func TestAdmitReservesSlotsForUrgentRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := &Limiter{MaxOpen: 10}
	account := operatorfile.Account{Name: "club"}

	for range 9 {
		_, refusal := limiter.Admit(account, false, now)
		is.True(refusal == nil)
	}
	_, refusal := limiter.Admit(account, false, now)
	is.Equal(refusal.Code, resultcode.EntryFull)
	release, refusal := limiter.Admit(account, true, now)
	is.True(refusal == nil)
	is.Equal(limiter.Open(), 10)
	release()
	release() // has no further effect
	is.Equal(limiter.Open(), 9)
}
