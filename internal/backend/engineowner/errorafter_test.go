package engineowner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/platform/engine"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
	standin "github.com/fulmarvalve/fulmarvalve/internal/standin/engine"
)

// TestErrorAfterABrokenStream guards against the text of an error in the middle of an answer, and against
// an answer that ends as complete: the engine breaks the stream off, and answers with an error when the
// owner attaches again.
func TestErrorAfterABrokenStream(t *testing.T) {
	const sent = 3
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusNoContent} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var streams atomic.Int64
			broken := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/completions" || streams.Add(1) > 1 {
					http.Error(w, "HTTP/1.1 500 the text of an error", status)
					return
				}
				var in engine.Completion
				if json.NewDecoder(r.Body).Decode(&in) != nil {
					return
				}
				for position := range sent {
					event, _ := engine.EncodeEvent(engine.Token{RequestID: in.ID, Position: position, Text: "t"})
					_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
				}
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			o := startAt(t, &standin.Server{StepMillis: 1, Seed: 1}, broken)
			out := &recorder{}
			is.NoErr(generate(o, request("tokens=40 broken"), out))
			is.Equal(out.text(), strings.Repeat("t", sent))
			is.True(resultcode.Code(out.last().GetEnd().GetCode()).Info().Outcome != resultcode.Complete)
			is.True(streams.Load() > 1)
		})
	}
}
