// Package intake serves callers over HTTP on an entry host: generations in the
// manner of the completions interface, and plain services.
package intake

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/ticket"
	"github.com/fulmarvalve/fulmarvalve/internal/caller/turnstile"
	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/visit"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/agreement"
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
	// retryUnconfiguredMillis is when a host without configuration is worth
	// another try.
	retryUnconfiguredMillis = 1000
)

// Runner carries requests to backend servers.
type Runner interface {
	Generate(context.Context, visit.Request, visit.Sink) *receipt.Result
	Resume(context.Context, ticket.Ticket, uint64, visit.Sink) *receipt.Result
	Call(context.Context, visit.Call) (visit.Reply, *receipt.Result)
}

// Observer measures requests. Its methods are safe for concurrent use.
type Observer interface {
	// Began starts the measurement of one request.
	Began(account, class string, now time.Time) Span
}

// Span measures one request. One goroutine uses it.
type Span interface {
	Tokens(count int, now time.Time)
	Ended(*receipt.Result, time.Time)
}

// Explainer returns the decision records of a request as JSON.
type Explainer func(ctx context.Context, requestID string) ([]byte, bool)

// Intake serves callers. Its fields must be set before Routes.
type Intake struct {
	Runner    Runner
	Turnstile *turnstile.Turnstile
	// Configuration returns the document in force, or nil before the first.
	Configuration func() *agreement.Document
	Explainer     Explainer
	Observer      Observer
	// KeyWindowSeconds bounds the age of an idempotency key.
	KeyWindowSeconds int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// HeartbeatMillis is the longest silence on an open stream to a caller.
	HeartbeatMillis int
	// Leaving tells whether the process accepts no new work.
	Leaving func() bool
}

// Routes returns the handler of all paths for callers.
func (in *Intake) Routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", in.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions/{ticket}", in.resume).Methods(http.MethodGet)
	router.HandleFunc("/v1/requests/{id}/explanation", in.explain).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}/").HandlerFunc(in.call)
	router.HandleFunc("/healthz", in.health).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(in.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(in.notAllowed)
	return router
}

func (in *Intake) health(w http.ResponseWriter, _ *http.Request) {
	if in.Leaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("leaving\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (in *Intake) explain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	records, found := in.Explainer(r.Context(), id)
	if !found {
		writeRefusal(w, "", receipt.New(receipt.UnknownRequest, "no decision record of request %s is held here", id))
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_, _ = w.Write(records)
}

func (in *Intake) notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, "", receipt.New(receipt.UnknownService, "no such path: %s", r.URL.Path))
}

func (in *Intake) notAllowed(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, "", receipt.New(receipt.InvalidRequest, "method %s is not served at %s", r.Method, r.URL.Path))
}

// document returns the configuration in force.
func (in *Intake) document(now time.Time) (*agreement.Document, *receipt.Result) {
	document := in.Configuration()
	if document == nil {
		return nil, receipt.New(receipt.NotConfigured, "no configuration is in force yet").
			WithRetryAt(now.Add(retryUnconfiguredMillis * time.Millisecond))
	}
	return document, nil
}

// enter admits a request at this entry host. Whether the process is leaving is
// asked afterwards, so that a drain either counts the request or refuses it.
func (in *Intake) enter(account agreement.Account, class agreement.Class, now time.Time) (func(), *receipt.Result) {
	leave, refusal := in.Turnstile.Enter(account, class.Urgent, now)
	if refusal != nil {
		return nil, refusal
	}
	if in.Leaving() {
		leave()
		return nil, receipt.New(receipt.Leaving, "the entry host accepts no new work").
			WithRetryAt(now.Add(retryUnconfiguredMillis * time.Millisecond))
	}
	return leave, nil
}
