package quarantine

import (
	"fmt"
	"testing"
)

const (
	// callSettledCount is the number of crashes under a call from which it must be known.
	callSettledCount = 3
	// accounts is the number of client accounts of simulated calls.
	accounts = 4
)

// callsOf returns a choice of calls: for a share of them one that is bad, else polls, which many
// repeat word for word, and calls that come once.
func (f *fleet) callsOf(badShare float64) func() []string {
	next := 0
	return func() []string {
		next++
		account := fmt.Sprint("account-", f.random.IntN(accounts))
		c := Content{Account: account, Method: "GET", Host: "h", Target: "/poll"}
		switch {
		case f.random.Float64() < badShare:
			c = badCall
		case f.random.IntN(3) == 0:
			c.Target = fmt.Sprint("/once/", next)
		case f.random.IntN(2) == 0:
			c.Method, c.Target, c.Body = "POST", "/order", fmt.Append(nil, next)
		}
		return c.Traits()
	}
}

// badCall crashes servers. Its account also sends sound calls.
var badCall = Content{Account: "account-1", Method: "GET", Host: "h", Target: "/bad"}

// badCallTrait is the trait of the bad call that no other call has.
func badCallTrait() string {
	traits := badCall.Traits()
	return traits[len(traits)-1]
}

// TestBadCallKeptAwayByFleet replays one call, repeated word for word, that crashes the servers of
// a plain service, among polls and calls that come once.
func TestBadCallKeptAwayByFleet(t *testing.T) {
	for _, c := range badCallCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, plainFleet) })
	}
}

// TestPollsServedWhileServersCrash replays servers of a plain service that crash for other reasons
// under polls and calls that come once.
func TestPollsServedWhileServersCrash(t *testing.T) {
	for _, c := range pollCrashCases {
		t.Run(c.name, func(t *testing.T) { c.runPolls(t, plainFleet) })
	}
}
