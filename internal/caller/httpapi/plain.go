package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/routing/dispatch"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/operatorfile"
)

// call handles one call of a plain service.
func (a *API) call(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := newRequestID()
	document, refusal := a.document(now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	request, class, refusal := a.buildCall(id, w, r, document, now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	account, _ := document.Account(request.Account)
	release, refusal := a.admit(account, class, now)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	defer release()
	span := a.Observer.Began(request.Account, request.Class, now)
	reply, result := a.Runner.Call(r.Context(), request)
	span.Ended(result, time.Now())
	if result.Code.Info().Outcome != resultcode.Complete {
		writeRefusal(w, id, result)
		return
	}
	writeReply(w, reply, result)
}

func writeReply(w http.ResponseWriter, reply dispatch.Reply, result *resultcode.Result) {
	header := w.Header()
	header.Set("Content-Type", reply.ContentType)
	header.Set(HeaderRequest, reply.RequestID)
	header.Set(HeaderResult, strconv.Itoa(int(result.Code)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// buildCall checks the request against the configuration in force and returns the
// call to run and its class.
func (a *API) buildCall(
	id string, w http.ResponseWriter, r *http.Request, document *operatorfile.Document, now time.Time,
) (dispatch.Call, operatorfile.Class, *resultcode.Result) {
	var none dispatch.Call
	accountName := r.Header.Get(HeaderAccount)
	class, refusal := permittedClass(document, accountName, r.Header.Get(HeaderClass))
	if refusal != nil {
		return none, class, refusal
	}
	service, found := document.Service(mux.Vars(r)["service"])
	if !found || service.Kind != operatorfile.KindPlain {
		return none, class, resultcode.New(resultcode.UnknownService, "no plain service %s is configured", mux.Vars(r)["service"])
	}
	if class.Service != service.Name {
		return none, class, resultcode.New(resultcode.InvalidRequest, "class %s is of service %s", class.Name, class.Service)
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/"+service.Name)
	repeatable, found := findCall(service, r.Method, path)
	if !found {
		return none, class, resultcode.New(resultcode.UnknownService, "service %s has no call %s %s", service.Name, r.Method, path)
	}
	key, refusal := a.checkKey(repeatable, accountName, r.Header.Get(HeaderKey), now)
	if refusal != nil {
		return none, class, refusal
	}
	deadline, refusal := headerDeadline(r)
	if refusal != nil {
		return none, class, refusal
	}
	body, refusal := a.readBody(w, r)
	if refusal != nil {
		return none, class, refusal
	}
	return dispatch.Call{
		ID:         id,
		Account:    accountName,
		Class:      class.Name,
		Service:    service.Name,
		Method:     r.Method,
		Path:       path,
		Body:       body,
		Deadline:   deadline,
		Key:        key,
		Repeatable: repeatable,
		Urgent:     class.Urgent,
	}, class, nil
}

// findCall looks up a configured call of the service and reports whether it is
// idempotent.
func findCall(service operatorfile.Service, method, path string) (repeatable, found bool) {
	for _, call := range service.Calls {
		if call.Method == method && call.Path == path {
			return call.Repeatable, true
		}
	}
	return false, false
}
