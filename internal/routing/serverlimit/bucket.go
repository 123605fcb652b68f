package serverlimit

import (
	"time"

	"github.com/fulmarvalve/fulmarvalve/internal/records/boottime"
)

const (
	// minPerSecond is the least rate of requests to a server, so that the hosts learn when
	// a limit of zero has ended.
	minPerSecond = 0.2
	// burstSeconds is the time whose tokens a bucket holds beside the one for the next
	// request.
	burstSeconds = 0.5
)

// bucket is a token bucket. One token is taken for each request. The bucket is in debt when
// several hosts took the same token before they heard of one another. It is immutable.
type bucket struct {
	// tokens is the number of tokens at filledAt; negative for a debt.
	tokens   float64
	filledAt boottime.Instant
}

// capacity returns the most tokens of a bucket that is filled at a rate.
func capacity(perSecond float64) float64 {
	return 1 + burstSeconds*perSecond
}

// withFilled returns the bucket with the tokens that came since it was last filled.
func (b bucket) withFilled(perSecond, capacity float64, now boottime.Instant) bucket {
	if now.Before(b.filledAt) {
		return b
	}
	seconds := time.Duration(now - b.filledAt).Seconds()
	return bucket{tokens: min(b.tokens+perSecond*seconds, capacity), filledAt: now}
}

// withSpent returns the bucket without some tokens.
func (b bucket) withSpent(tokens float64) bucket {
	b.tokens -= tokens
	return b
}

// nextAt returns the time at which there is a token for a request.
func (b bucket) nextAt(perSecond float64) boottime.Instant {
	missing := max(1-b.tokens, 0)
	return b.filledAt + boottime.Instant(missing/perSecond*float64(time.Second))
}
