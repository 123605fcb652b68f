package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// callMillis bounds one request of a caller.
	callMillis = 10_000
	// eventTokens is the number of tokens in one event of a stream.
	eventTokens = 4
	// plainBody is the body of the plain service's answer.
	plainBody = "whole answer of a plain service"
)

// attempt is one request of a caller with its reply.
type attempt struct {
	request callerRequest
	sentAt  time.Time
	reply   callerReply
}

// callLog records all attempts and assigns request identifiers.
type callLog struct {
	mu       sync.Mutex
	next     int
	attempts []attempt
}

func (l *callLog) newID(caller int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("c%d-%d", caller, l.next)
}

func (l *callLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// keyring records the API keys that are added and removed during the run.
type keyring struct {
	mu sync.Mutex
	// newest is the key that was added last; it may have been removed since.
	newest string
	// removedAt holds the time at which each key was removed from the store.
	removedAt map[string]time.Time
}

func (k *keyring) add(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newest = key
}

func (k *keyring) remove(key string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removedAt == nil {
		k.removedAt = make(map[string]time.Time)
	}
	k.removedAt[key] = at
}

func (k *keyring) latest() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest
}

// sendRequests sends random requests to random entry hosts until the end of the run. It
// keeps connections open until their entry host closes them.
func (s *soak) sendRequests(caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for time.Now().Before(s.endsAt) {
		e := s.entries[random.IntN(len(s.entries))]
		request := s.randomRequest(caller, random)
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(callMillis*time.Millisecond))
		sentAt := time.Now()
		reply := s.sendTo(ctx, client, e.callerAddress, request)
		stop()
		s.calls.add(attempt{request: request, sentAt: sentAt, reply: reply})
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// idempotentPost returns a request to the idempotent route. It is a POST, which the
// caller's HTTP client does not retry by itself.
func idempotentPost(id, key string) callerRequest {
	return callerRequest{method: http.MethodPost, target: plainPath, id: id, key: key, body: "{}"}
}

// randomRequest returns a request to a random route: idempotent, with the permanent or
// the newest key, non-idempotent, or a stream that is resumable or not.
func (s *soak) randomRequest(caller int, random *rand.Rand) callerRequest {
	const shortest, spread = 20, 130
	id := s.calls.newID(caller)
	switch random.IntN(5) {
	case 0:
		return idempotentPost(id, platformKey)
	case 1:
		return callerRequest{method: http.MethodPost, target: oncePath, id: id, key: platformKey, body: "{}"}
	case 2:
		return idempotentPost(id, s.keys.latest())
	case 3:
		request := streamRequest(id, shortest+random.IntN(spread))
		request.target = resumablePath
		return request
	default:
		return streamRequest(id, shortest+random.IntN(spread))
	}
}

// check compares the replies to callers with the requests that ran on backend servers.
func (s *soak) check() {
	ran := make(map[string]int)
	for _, a := range s.arrivals() {
		if a.Ran && a.Header.Get("Kv-From") == "" {
			ran[a.Header.Get("Fulmarvalve-Request-Id")]++
		}
	}
	counts := make(map[string]int)
	for _, a := range s.calls.attempts {
		counts[fmt.Sprintf("%s %d %t", a.request.target, a.reply.status, a.reply.err == nil)]++
		s.checkExecutions(a, ran[a.request.id])
		s.checkAnswer(a)
		s.checkKey(a)
	}
	s.t.Logf("%d requests: %v", len(s.calls.attempts), counts)
}

// checkExecutions checks how often a request ran: at most once for routes that may not
// run twice, not at all if its answer says so, and otherwise at most twice.
func (s *soak) checkExecutions(a attempt, ran int) {
	reportedNotRun := a.reply.status == http.StatusServiceUnavailable || a.reply.status == http.StatusTooManyRequests
	once := a.request.target == oncePath || strings.HasPrefix(a.request.target, streamPath)
	switch {
	case once && ran > 1:
		s.t.Errorf("%s %s ran %d times, want at most 1", a.request.target, a.request.id, ran)
	case once && reportedNotRun && ran > 0:
		s.t.Errorf("%s %s ran although it was answered with %d", a.request.target, a.request.id, a.reply.status)
	case ran > 2:
		s.t.Errorf("%s %s ran %d times, want at most 2", a.request.target, a.request.id, ran)
	}
}

// checkAnswer checks that an answer is the one to its own request, and either complete or
// visibly truncated.
func (s *soak) checkAnswer(a attempt) {
	if a.reply.status != http.StatusOK {
		return
	}
	if a.request.tokens == 0 {
		if a.reply.err == nil && a.reply.body != plainBody {
			s.t.Errorf("%s: answer is %q, want %q", a.request.id, a.reply.body, plainBody)
		}
		return
	}
	events, all := a.reply.events(), eventNumbers(a.request.tokens/eventTokens)
	if a.reply.err == nil && !slices.Equal(events, all) {
		s.t.Errorf("%s: complete answer has events %v, want 1 to %d", a.request.id, events, len(all))
	}
	if len(events) > len(all) || !slices.Equal(events, all[:len(events)]) {
		s.t.Errorf("%s: events %v are not the first ones in order", a.request.id, events)
	}
}

// checkKey checks that no entry host accepts a key after it was removed and the
// revocation time has passed.
func (s *soak) checkKey(a attempt) {
	removedAt, removed := s.keys.removedAt[a.request.key]
	if !removed || a.reply.err != nil || a.reply.status != http.StatusOK {
		return
	}
	if late := a.sentAt.Sub(removedAt); late > platformRevokeMillis*time.Millisecond {
		s.t.Errorf("%s: key accepted %v after its removal, want at most %d ms", a.request.id, late, platformRevokeMillis)
	}
}
