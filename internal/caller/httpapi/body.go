package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/intake"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	"github.com/fulmarvalve/fulmarvalve/internal/wire/transport"
)

// bodyTimeoutMillis limits the time for reading the body of a request.
const bodyTimeoutMillis = 10000

// bodyWeight is the memory that a byte of a body takes: in the body, in the prompt that it is decoded into, in the
// message to the owner, and in the buffer that the message is sent from.
const bodyWeight = 4

// fullRetryMillis is the retry delay that is reported to callers for whose requests there is no room.
const fullRetryMillis = 1500

// readBody reads the body of a request within the limits of size, time and memory. It
// clears the read deadline afterwards, since the response may take longer. When the
// process ends, it stops reading, so that the request is refused in time.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *resultcode.Result) {
	body, err := a.readAll(http.NewResponseController(w), r)
	if transport.Stopped(r.Context()) {
		return nil, leavingRefusal(time.Now())
	}
	if err != nil {
		// The server would wait for the rest of the body before it sends the refusal.
		w.Header().Set("Connection", "close")
		holding, _ := transport.HoldingOf(r)
		holding.Linger()
		return nil, a.bodyRefusal(err)
	}
	return body, nil
}

// readAll reads the body of a request.
func (a *API) readAll(controller *http.ResponseController, r *http.Request) ([]byte, error) {
	release := context.AfterFunc(r.Context(), func() { _ = transport.EndRead(controller) })
	defer release()
	holding, headBytes := transport.HoldingOf(r)
	body, err := holding.ReadRequest(r.Context(), r.Body, intake.BodyLimits{
		MostBytes: int64(a.MaxBodyBytes),
		Length:    r.ContentLength,
		HeadBytes: headBytes,
		Weight:    bodyWeight,
		Begin: func() error {
			return setReadDeadline(controller, time.Now().Add(bodyTimeoutMillis*time.Millisecond))
		},
	})
	if err != nil {
		return nil, err
	}
	return body, setReadDeadline(controller, time.Time{})
}

func setReadDeadline(controller *http.ResponseController, at time.Time) error {
	if err := controller.SetReadDeadline(at); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// bodyRefusal returns the result for an error of reading the body. It
// distinguishes a body over the size limit from an incomplete one, and from one without room.
func (a *API) bodyRefusal(err error) *resultcode.Result {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return resultcode.New(resultcode.BodyTooLarge, "the body is over %d bytes", a.MaxBodyBytes)
	case errors.IsAny(err, intake.ErrFull, intake.ErrGaveWay):
		return fullRefusal()
	default:
		return resultcode.New(resultcode.InvalidRequest, "the body did not come whole: %v", err)
	}
}

// fullRefusal returns the refusal of a request for which there is no room.
func fullRefusal() *resultcode.Result {
	return resultcode.New(resultcode.EntryFull, "callers make the entry host hold as much as they may").
		WithRetryAt(time.Now().Add(fullRetryMillis * time.Millisecond))
}

// withRoom returns a handler that takes the memory for requests without a body. The others take theirs with the body.
func (a *API) withRoom(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			holding, headBytes := transport.HoldingOf(r)
			if _, err := holding.ReadRequest(r.Context(), http.NoBody, intake.BodyLimits{HeadBytes: headBytes}); err != nil {
				writeRefusal(w, "", fullRefusal())
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
