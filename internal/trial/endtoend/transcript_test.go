package endtoend

import (
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// outputs holds the tokens that each engine produces for one prompt, keyed by the name of
// its backend server.
type outputs map[string][]string

// transcript is the part of an answer that a caller has received. It checks each event
// against the tokens that the engine produces for the caller's prompt, so that a token
// that is missing, duplicated, out of order or from another request fails the test.
type transcript struct {
	// outputs holds the tokens that each engine produces for the prompt. They
	// differ between engines, so that a token of another generation is detected.
	outputs outputs
	// want holds all tokens of the answer. It is set when the generation starts.
	want []string

	// position is the number of tokens that were received.
	position uint64
	// resumeTokens holds all resume tokens that were received, in order.
	resumeTokens []string
	request      string
	// end is the last event; it is set once ended is true.
	end   completion
	ended bool
}

func newTranscript(o outputs) *transcript {
	return &transcript{outputs: o}
}

// add checks one event and adds it to the transcript.
func (t *transcript) add(e event) error {
	if t.ended {
		return errors.Newf("event after the end event: %+v", e.completion)
	}
	if token := e.Fulmarvalve.Ticket; token != "" {
		if err := t.startGeneration(token, e.Fulmarvalve.Backend); err != nil {
			return err
		}
	}
	t.request = e.Fulmarvalve.RequestID
	id, err := strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "parse event identifier %q", e.id)
	}
	if err := t.addText(id, e.text()); err != nil {
		return err
	}
	if e.Fulmarvalve.Result != "" {
		t.end, t.ended = e.completion, true
	}
	return nil
}

// startGeneration records the resume token of a generation. A second generation may
// start only before the first token was received.
func (t *transcript) startGeneration(token, backend string) error {
	if t.position > 0 {
		return errors.Newf("generation at %s starts after %d tokens of another", backend, t.position)
	}
	t.resumeTokens = append(t.resumeTokens, token)
	t.want = t.outputs[backend]
	return nil
}

// addText checks the text of an event whose last token has the position id.
func (t *transcript) addText(id uint64, text string) error {
	if id < t.position || id > uint64(len(t.want)) {
		return errors.Newf("event ends at token %d after %d of %d tokens were received", id, t.position, len(t.want))
	}
	want := strings.Join(t.want[t.position:id], "")
	if text != want {
		return errors.Newf("tokens %d to %d are %q, want %q", t.position, id, text, want)
	}
	t.position = id
	return nil
}

// resumeToken returns the last resume token that was received.
func (t *transcript) resumeToken() string {
	return t.resumeTokens[len(t.resumeTokens)-1]
}

// readUntil reads events until at least count tokens were received.
func (t *transcript) readUntil(s *stream, count uint64) error {
	for t.position < count {
		e, err := s.next()
		if err != nil {
			return errors.Wrapf(err, "read event after %d of %d tokens", t.position, count)
		}
		if err := t.add(e); err != nil {
			return err
		}
		if t.ended {
			return errors.Newf("answer ended after %d tokens, want at least %d: %s %s", t.position, count, t.end.Fulmarvalve.Result, t.end.Fulmarvalve.Reason)
		}
	}
	return nil
}

// readAll reads to the end of the stream. It returns an error marked with errTruncated
// if the stream is truncated.
func (t *transcript) readAll(s *stream) error {
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) {
			return t.checkEnded()
		}
		if err != nil {
			return err
		}
		if err := t.add(e); err != nil {
			return err
		}
	}
}

// checkEnded returns an error unless the end event was received.
func (t *transcript) checkEnded() error {
	if !t.ended {
		return errors.Newf("stream closed without a result after %d tokens", t.position)
	}
	return nil
}

// checkComplete checks that all tokens were received and that the answer ended with OK.
func (t *transcript) checkComplete() error {
	if !t.ended {
		return errors.Newf("answer has no end event after %d tokens", t.position)
	}
	if code := resultcode.Code(t.end.Fulmarvalve.Code); code != resultcode.OK {
		return errors.Newf("answer ended with %s after %d tokens: %s", code, t.position, t.end.Fulmarvalve.Reason)
	}
	if t.position != uint64(len(t.want)) {
		return errors.Newf("answer ended with OK after %d of %d tokens", t.position, len(t.want))
	}
	return nil
}

// checkCompleteReply checks that an answer in one response is complete.
func checkCompleteReply(r reply, o outputs) (completion, error) {
	p, err := r.completion()
	if err != nil {
		return p, err
	}
	if code := resultcode.Code(p.Fulmarvalve.Code); code != resultcode.OK {
		return p, errors.Newf("status %d, %s: %s", r.status, code, p.Fulmarvalve.Reason)
	}
	want := strings.Join(o[p.Fulmarvalve.Backend], "")
	if p.text() != want {
		return p, errors.Newf("answer is %q, want %q", p.text(), want)
	}
	return p, nil
}
