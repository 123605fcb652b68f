package intake

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/receipt"
)

// bodyMillis bounds the time in which a caller sends its body.
const bodyMillis = 10000

// readBody reads the body of a request within its bounds of size and time. The
// read deadline is taken back afterwards, since an answer may take long.
func (in *Intake) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *receipt.Result) {
	controller := http.NewResponseController(w)
	deadline := time.Now().Add(bodyMillis * time.Millisecond)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, receipt.New(receipt.InvalidRequest, "the body can't be read: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(in.MaxBodyBytes)))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, receipt.New(receipt.InvalidRequest, "the body can't be read: %v", err)
	}
	return body, nil
}

// bodyRefusal tells a body over the limit from one that broke off.
func bodyRefusal(err error) *receipt.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return receipt.New(receipt.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	return receipt.New(receipt.InvalidRequest, "the body did not come whole: %v", err)
}
