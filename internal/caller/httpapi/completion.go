package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarvalve/fulmarvalve/internal/permit/claim"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// completionRequest is the body of a generation request. The top-level fields are
// those of the completions API; Fulmarvalve holds the fields that extend it.
type completionRequest struct {
	Model       string         `json:"model"`
	Prompt      string         `json:"prompt"`
	MaxTokens   int            `json:"max_tokens"`
	Stream      bool           `json:"stream"`
	Fulmarvalve completionPart `json:"fulmarvalve"`
}

// completionPart holds the fields of a generation request that extend the
// completions API. Each of them may be given by a header instead.
type completionPart struct {
	Account string
	Class   string
	// Key is the idempotency key. A non-idempotent request needs one.
	Key string
	// Deadline is absolute, in RFC 3339.
	Deadline time.Time
}

// newRequestID returns a new request ID, a UUIDv7 that contains its creation
// time.
func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// complete handles one generation request.
func (a *API) complete(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := newRequestID()
	body, refusal := a.readCompletion(w, r)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	document, refusal := a.document(now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	request, refusal := a.buildRequest(id, body, document, now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	account, _ := document.Account(request.Account)
	class, _ := document.Class(request.Class)
	release, refusal := a.admit(account, class, now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	defer release()
	span := a.Observer.Began(request.Account, request.Class, now)
	a.generate(w, r, request, body.Stream, span)
}

// generate runs the request and writes its response.
func (a *API) generate(w http.ResponseWriter, r *http.Request, request dispatch.Request, stream bool, span Span) {
	sink := newSink(w, &request, stream, span)
	a.run(r, sink, span, func(ctx context.Context) *resultcode.Result {
		return a.Runner.Generate(ctx, request, sink)
	})
}

// newSink returns the sink for the requested form of response: streamed or in one
// piece. A stream is buffered if the class has Whole set. For a response in one piece,
// newSink sets Whole in the request, since it sends nothing before the end.
func newSink(w http.ResponseWriter, request *dispatch.Request, streamed bool, span Span) responseSink {
	if !streamed {
		request.Whole = true
		return &bufferedAnswer{writer: w, requestID: request.ID, model: request.Model, span: span}
	}
	stream := newStream(w, request.ID, request.Model, span)
	if request.Whole {
		return &bufferedStream{stream: stream}
	}
	return stream
}

// readCompletion reads the body of a generation request. Extension fields that
// the body leaves empty are taken from the headers.
func (a *API) readCompletion(w http.ResponseWriter, r *http.Request) (completionRequest, *resultcode.Result) {
	var body completionRequest
	text, refusal := a.readBody(w, r)
	if refusal != nil {
		return body, refusal
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return body, resultcode.New(resultcode.InvalidRequest, "the body is not valid: %v", err)
	}
	if body.Fulmarvalve.Account == "" {
		body.Fulmarvalve.Account = r.Header.Get(HeaderAccount)
	}
	if body.Fulmarvalve.Class == "" {
		body.Fulmarvalve.Class = r.Header.Get(HeaderClass)
	}
	if body.Fulmarvalve.Key == "" {
		body.Fulmarvalve.Key = r.Header.Get(HeaderKey)
	}
	if !body.Fulmarvalve.Deadline.IsZero() {
		return body, nil
	}
	deadline, refusal := headerDeadline(r)
	body.Fulmarvalve.Deadline = deadline
	return body, refusal
}

// headerDeadline returns the deadline from the headers, or the zero time if there
// is none.
func headerDeadline(r *http.Request) (time.Time, *resultcode.Result) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, resultcode.New(resultcode.InvalidRequest, "%s is not a time in RFC 3339: %s", HeaderDeadline, text)
	}
	return deadline, nil
}

// buildRequest checks the body against the configuration in force and returns the
// request to run.
func (a *API) buildRequest(
	id string, body completionRequest, document *operatorfile.Document, now time.Time,
) (dispatch.Request, *resultcode.Result) {
	var none dispatch.Request
	class, refusal := permittedClass(document, body.Fulmarvalve.Account, body.Fulmarvalve.Class)
	if refusal != nil {
		return none, refusal
	}
	service, found := document.Service(class.Service)
	if !found || service.Kind != operatorfile.KindGeneration {
		return none, resultcode.New(resultcode.InvalidRequest, "class %s is not of a generation service", class.Name)
	}
	if body.Model != "" && body.Model != service.Model {
		return none, resultcode.New(resultcode.InvalidRequest, "class %s uses model %s, not %s", class.Name, service.Model, body.Model)
	}
	if body.Prompt == "" {
		return none, resultcode.New(resultcode.InvalidRequest, "prompt is empty")
	}
	if body.MaxTokens < 0 {
		return none, resultcode.New(resultcode.InvalidRequest, "max_tokens is negative: %d", body.MaxTokens)
	}
	key, refusal := a.checkKey(class.Repeatable, body.Fulmarvalve.Account, body.Fulmarvalve.Key, now)
	if refusal != nil {
		return none, refusal
	}
	return dispatch.Request{
		ID:         id,
		Account:    body.Fulmarvalve.Account,
		Class:      class.Name,
		Service:    service.Name,
		Model:      service.Model,
		Prompt:     body.Prompt,
		MaxTokens:  tokenLimit(body.MaxTokens, class.MaxTokens),
		Deadline:   body.Fulmarvalve.Deadline,
		Key:        key,
		Repeatable: class.Repeatable,
		Whole:      class.Whole,
		Urgent:     class.Urgent,
	}, nil
}

// permittedClass returns the class if the client account may use it.
func permittedClass(document *operatorfile.Document, accountName, className string) (operatorfile.Class, *resultcode.Result) {
	var none operatorfile.Class
	account, found := document.Account(accountName)
	if !found {
		return none, resultcode.New(resultcode.AccountRefused, "client account %q is not configured", accountName)
	}
	class, found := document.Class(className)
	if !found {
		return none, resultcode.New(resultcode.InvalidRequest, "class %q is not configured", className)
	}
	if len(account.Classes) == 0 {
		return class, nil
	}
	for _, allowed := range account.Classes {
		if allowed == className {
			return class, nil
		}
	}
	return none, resultcode.New(resultcode.AccountRefused, "client account %s may not use class %s", accountName, className)
}

// checkKey checks the idempotency key of a non-idempotent request and returns the
// key's identity. An idempotent request needs no key; for it, the identity is empty.
func (a *API) checkKey(repeatable bool, account, key string, now time.Time) (string, *resultcode.Result) {
	if repeatable {
		return "", nil
	}
	identity, err := claim.KeyOf(account, key)
	if err != nil {
		return "", resultcode.New(resultcode.KeyRequired, "%v", err)
	}
	err = claim.CheckKey(identity, now, claim.OldestKeyTime(now, a.KeyWindowSeconds))
	switch {
	case err == nil:
		return identity, nil
	case errors.Is(err, claim.ErrKeyExpired):
		return "", resultcode.New(resultcode.KeyExpired, "%v", err)
	default:
		return "", resultcode.New(resultcode.KeyRequired, "%v", err)
	}
}

// tokenLimit returns the smaller of the requested limit and that of the class.
// Zero means no limit.
func tokenLimit(requested, class int) uint32 {
	if requested == 0 || (class > 0 && class < requested) {
		return uint32(class)
	}
	return uint32(requested)
}
