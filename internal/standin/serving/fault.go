package serving

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// TakeOne decrements n if it is above zero and reports whether it was. Stand-ins
// use it for faults that apply to a number of upcoming requests.
func TakeOne(n *atomic.Int64) bool {
	return TakeNext(n) > 0
}

// TakeNext is like TakeOne and returns what n was; zero if it was not above zero.
func TakeNext(n *atomic.Int64) int64 {
	for {
		left := n.Load()
		if left <= 0 {
			return 0
		}
		if n.CompareAndSwap(left, left-1) {
			return left
		}
	}
}

// Delay waits for a number of milliseconds. It returns the error of ctx if ctx
// ends first.
func Delay(ctx context.Context, millis int64) error {
	if millis <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Outage returns a middleware that responds with status 503 while down is set, and
// otherwise delays each request by slowMillis.
func Outage(down *atomic.Bool, slowMillis *atomic.Int64) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if down.Load() {
				http.Error(w, "service is down", http.StatusServiceUnavailable)
				return
			}
			if err := Delay(r.Context(), slowMillis.Load()); err != nil {
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
