package httpapi

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// bodyTimeoutMillis bounds the time in which a caller sends its body.
const bodyTimeoutMillis = 10000

// readBody reads the body of a request within its bounds of size and time. The
// read deadline is taken back afterwards, since an answer may take long.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *resultcode.Result) {
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(bodyTimeoutMillis * time.Millisecond)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, resultcode.New(resultcode.InvalidRequest, "the body can't be read: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.MaxBodyBytes)))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, resultcode.New(resultcode.InvalidRequest, "the body can't be read: %v", err)
	}
	return body, nil
}

// bodyRefusal tells a body over the limit from one that broke off.
func bodyRefusal(err error) *resultcode.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return resultcode.New(resultcode.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	return resultcode.New(resultcode.InvalidRequest, "the body did not come whole: %v", err)
}
