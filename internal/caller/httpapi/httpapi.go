// Package httpapi serves callers over HTTP on an entry host: generations in the
// manner of the completions interface, and plain services.
package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/ratelimit"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/resumetoken"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// Headers of the system beside those of the completions interface.
const (
	// HeaderAccount names the client account.
	HeaderAccount = "Fulmarvalve-Account"
	// HeaderClass names the class of the request.
	HeaderClass = "Fulmarvalve-Class"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries the absolute deadline in RFC 3339.
	HeaderDeadline = "Fulmarvalve-Deadline"
	// HeaderRequest carries the request identity in answers.
	HeaderRequest = "Fulmarvalve-Request"
	// HeaderResult carries the number of the result code in answers.
	HeaderResult = "Fulmarvalve-Result"
)

const (
	contentTypeJSON = "application/json"
	// retryAfterMillis is when a host without configuration is worth
	// another try.
	retryAfterMillis = 1000
)

// Runner carries requests to backend servers.
type Runner interface {
	Generate(context.Context, dispatch.Request, dispatch.Sink) *resultcode.Result
	Resume(context.Context, resumetoken.Token, uint64, dispatch.Sink) *resultcode.Result
	Call(context.Context, dispatch.Call) (dispatch.Reply, *resultcode.Result)
}

// Observer measures requests. Its methods are safe for concurrent use.
type Observer interface {
	// Began starts the measurement of one request.
	Began(account, class string, now time.Time) Span
}

// Span measures one request. One goroutine uses it.
type Span interface {
	Tokens(count int, now time.Time)
	Ended(*resultcode.Result, time.Time)
}

// Explainer returns the decision records of a request as JSON.
type Explainer func(ctx context.Context, requestID string) ([]byte, bool)

// API serves callers. Its fields must be set before Routes.
type API struct {
	Runner      Runner
	RateLimiter *ratelimit.Limiter
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *operatorfile.Document
	Explainer     Explainer
	Observer      Observer
	// KeyWindowSeconds bounds the age of an idempotency key.
	KeyWindowSeconds int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// HeartbeatMillis is the longest silence on an open stream to a caller.
	HeartbeatMillis int
	// Draining tells whether the process accepts no new work.
	Draining func() bool
}

// Routes returns the handler of all paths for callers.
func (a *API) Routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", a.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions/{ticket}", a.resume).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}/explanation", a.explain).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}/").HandlerFunc(a.call)
	router.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(a.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(a.notAllowed)
	return router
}

func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	if a.Draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("leaving\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	records, found := a.Explainer(r.Context(), id)
	if !found {
		writeRefusal(w, "", resultcode.New(resultcode.UnknownRequest, "no decision record of request %s is held here", id))
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_, _ = w.Write(records)
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, "", resultcode.New(resultcode.UnknownService, "no such path: %s", r.URL.Path))
}

func (a *API) notAllowed(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, "", resultcode.New(resultcode.InvalidRequest, "method %s is not served at %s", r.Method, r.URL.Path))
}

// document returns the configuration in force.
func (a *API) document(now time.Time) (*operatorfile.Document, *resultcode.Result) {
	document := a.Configuration()
	if document == nil {
		return nil, resultcode.New(resultcode.NotConfigured, "no configuration is in force yet").
			WithRetryAt(now.Add(retryAfterMillis * time.Millisecond))
	}
	return document, nil
}

// admit admits a request at this entry host. Whether the process is leaving is
// asked afterwards, so that a drain either counts the request or refuses it.
func (a *API) admit(account operatorfile.Account, class operatorfile.Class, now time.Time) (func(), *resultcode.Result) {
	leave, refusal := a.RateLimiter.Admit(account, class.Urgent, now)
	if refusal != nil {
		return nil, refusal
	}
	if a.Draining() {
		leave()
		return nil, resultcode.New(resultcode.Leaving, "the entry host accepts no new work").
			WithRetryAt(now.Add(retryAfterMillis * time.Millisecond))
	}
	return leave, nil
}
