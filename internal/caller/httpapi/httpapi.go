// Package httpapi implements the HTTP API that an entry host offers to callers. POST
// /v1/completions starts a generation, in the form of the completions API of the model
// engines, with additional fields and headers. The paths below /v1/services call plain
// services. API is the handler; it checks and admits each request and passes it to a
// Runner.
//
// The entry host relays the answer of a generation from its owner, which is the
// process beside the backend server that runs the generation. A caller whose stream
// broke can resume the answer with the resume token from the JSON field Ticket.
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

// Headers that extend the completions API.
const (
	// HeaderAccount names the client account.
	HeaderAccount = "Fulmarvalve-Account"
	// HeaderClass names the request class.
	HeaderClass = "Fulmarvalve-Class"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries the absolute deadline in RFC 3339.
	HeaderDeadline = "Fulmarvalve-Deadline"
	// HeaderRequest carries the request ID in responses.
	HeaderRequest = "Fulmarvalve-Request"
	// HeaderResult carries the number of the result code in responses.
	HeaderResult = "Fulmarvalve-Result"
)

const (
	contentTypeJSON = "application/json"
	// retryAfterMillis is the retry delay that is reported to callers while the
	// entry host has no configuration or is draining.
	retryAfterMillis = 1000
)

// Runner runs requests on backend servers.
type Runner interface {
	// Generate runs a generation.
	Generate(context.Context, dispatch.Request, dispatch.Sink) *resultcode.Result
	// Resume continues to deliver a generation from the given token position on.
	Resume(context.Context, resumetoken.Token, uint64, dispatch.Sink) *resultcode.Result
	// Call runs a call of a plain service.
	Call(context.Context, dispatch.Call) (dispatch.Reply, *resultcode.Result)
}

// Observer records metrics of requests. Its methods are safe for concurrent use.
type Observer interface {
	// Began is called when a request was admitted, and returns its span.
	Began(account, class string, now time.Time) Span
}

// Span records the metrics of one request. It is not safe for concurrent use.
type Span interface {
	// Tokens is called when tokens arrive.
	Tokens(count int, now time.Time)
	// Ended is called when the request has its result.
	Ended(*resultcode.Result, time.Time)
}

// Explainer returns the decision records of a request as JSON, and whether there
// are any.
type Explainer func(ctx context.Context, requestID string) ([]byte, bool)

// API handles callers' HTTP requests. Its fields must be set before Routes is
// called.
type API struct {
	Runner      Runner
	RateLimiter *ratelimit.Limiter
	// Configuration returns the operator file in force, or nil before the first
	// one was loaded.
	Configuration func() *operatorfile.Document
	Explainer     Explainer
	Observer      Observer
	// KeyWindowSeconds limits the age of an idempotency key.
	KeyWindowSeconds int
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	// HeartbeatMillis is the heartbeat interval on an open stream. After
	// keepAliveHeartbeats intervals without an event, a comment is sent.
	HeartbeatMillis int
	// Draining reports whether the process accepts no new requests.
	Draining func() bool
}

// Routes returns the handler for all paths of the API.
func (a *API) Routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", a.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions/{ticket}", a.resume).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}/explanation", a.explain).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}/").HandlerFunc(a.call)
	router.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(a.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(a.notAllowed)
	return a.withRoom(router)
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

// document returns the operator file in force.
func (a *API) document(now time.Time) (*operatorfile.Document, *resultcode.Result) {
	document := a.Configuration()
	if document == nil {
		return nil, resultcode.New(resultcode.NotConfigured, "no configuration is in force yet").
			WithRetryAt(now.Add(retryAfterMillis * time.Millisecond))
	}
	return document, nil
}

// admit admits a request at this entry host and returns the function that
// releases its slot. It checks for draining only after the request has taken its
// slot, so that a drain that starts meanwhile either waits for the request or
// refuses it.
func (a *API) admit(account operatorfile.Account, class operatorfile.Class, now time.Time) (func(), *resultcode.Result) {
	release, refusal := a.RateLimiter.Admit(account, class.Urgent, now)
	if refusal != nil {
		return nil, refusal
	}
	if a.Draining() {
		release()
		return nil, leavingRefusal(now)
	}
	return release, nil
}

// leavingRefusal returns the refusal of a request while the process drains.
func leavingRefusal(now time.Time) *resultcode.Result {
	return resultcode.New(resultcode.Leaving, "the entry host accepts no new work").
		WithRetryAt(now.Add(retryAfterMillis * time.Millisecond))
}
