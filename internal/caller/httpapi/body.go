package httpapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// bodyTimeoutMillis limits the time for reading the body of a request.
const bodyTimeoutMillis = 10000

// readBody reads the body of a request within the limits of size and time. It
// clears the read deadline afterwards, since the response may take longer. When the
// process ends, it stops reading, so that the request is refused in time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *resultcode.Result) {
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(bodyTimeoutMillis * time.Millisecond)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, resultcode.New(resultcode.InvalidRequest, "the body can't be read: %v", err)
	}
	release := context.AfterFunc(r.Context(), func() { _ = transport.EndRead(controller) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.MaxBodyBytes)))
	release()
	if transport.Stopped(r.Context()) {
		return nil, leavingRefusal(time.Now())
	}
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, resultcode.New(resultcode.InvalidRequest, "the body can't be read: %v", err)
	}
	return body, nil
}

// bodyRefusal returns the result for an error of reading the body. It
// distinguishes a body over the size limit from an incomplete one.
func bodyRefusal(err error) *resultcode.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return resultcode.New(resultcode.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	return resultcode.New(resultcode.InvalidRequest, "the body did not come whole: %v", err)
}
