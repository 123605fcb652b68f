package endtoend

import (
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// outputs holds the tokens that each engine produces for one prompt, by the name
// of its backend server.
type outputs map[string][]string

// transcript is what a caller holds of one answer. It checks each event against
// the tokens that the engine produces for the caller's own prompt, so that a
// token that is missing, repeated, out of order or foreign fails the test.
type transcript struct {
	// outputs holds what each engine produces for the prompt. They differ, so
	// that a token of another generation shows.
	outputs outputs
	// want holds every token of the answer, once its generation is known.
	want []string

	// position counts the tokens that were received.
	position uint64
	// resumeTokens holds every resume token that came, in order.
	resumeTokens []string
	request      string
	// end is the last event, once ended.
	end   completion
	ended bool
}

func newTranscript(o outputs) *transcript {
	return &transcript{outputs: o}
}

// add checks one event.
func (t *transcript) add(e event) error {
	if t.ended {
		return errors.Newf("an event follows the end: %+v", e.completion)
	}
	if ticket := e.Fulmarvalve.Ticket; ticket != "" {
		if err := t.startGeneration(ticket, e.Fulmarvalve.Backend); err != nil {
			return err
		}
	}
	t.request = e.Fulmarvalve.RequestID
	id, err := strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return errors.Wrap(err, "identity of an event")
	}
	if err := t.addText(id, e.text()); err != nil {
		return err
	}
	if e.Fulmarvalve.Result != "" {
		t.end, t.ended = e.completion, true
	}
	return nil
}

// startGeneration takes the resume token of a generation. Another one may follow only while no
// token was received.
func (t *transcript) startGeneration(ticket, backend string) error {
	if t.position > 0 {
		return errors.Newf("a generation of %s begins after %d tokens", backend, t.position)
	}
	t.resumeTokens = append(t.resumeTokens, ticket)
	t.want = t.outputs[backend]
	return nil
}

// addText checks the text of an event that ends at the position id.
func (t *transcript) addText(id uint64, text string) error {
	if id < t.position || id > uint64(len(t.want)) {
		return errors.Newf("an event ends at token %d after %d of %d tokens", id, t.position, len(t.want))
	}
	want := strings.Join(t.want[t.position:id], "")
	if text != want {
		return errors.Newf("tokens %d to %d are %q, the engine's are %q", t.position, id, text, want)
	}
	t.position = id
	return nil
}

// resumeToken returns the newest resume token.
func (t *transcript) resumeToken() string {
	return t.resumeTokens[len(t.resumeTokens)-1]
}

// readUntil reads until at least count tokens were received.
func (t *transcript) readUntil(s *stream, count uint64) error {
	for t.position < count {
		e, err := s.next()
		if err != nil {
			return errors.Wrapf(err, "after %d tokens", t.position)
		}
		if err := t.add(e); err != nil {
			return err
		}
		if t.ended {
			return errors.Newf("the answer ended after %d tokens: %s %s", t.position, t.end.Fulmarvalve.Result, t.end.Fulmarvalve.Reason)
		}
	}
	return nil
}

// readAll reads to the end of the stream. It fails with errBrokenOff when
// the stream breaks off.
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

func (t *transcript) checkEnded() error {
	if !t.ended {
		return errors.New("the stream closed without a result")
	}
	return nil
}

// checkComplete checks that the whole answer was received and says so.
func (t *transcript) checkComplete() error {
	if !t.ended {
		return errors.Newf("no end after %d tokens", t.position)
	}
	if code := resultcode.Code(t.end.Fulmarvalve.Code); code != resultcode.OK {
		return errors.Newf("ended with %s after %d tokens: %s", code, t.position, t.end.Fulmarvalve.Reason)
	}
	if t.position != uint64(len(t.want)) {
		return errors.Newf("ended as whole after %d of %d tokens", t.position, len(t.want))
	}
	return nil
}

// checkCompleteReply checks an answer that came at once.
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
		return p, errors.Newf("the answer is %q, the engine's is %q", p.text(), want)
	}
	return p, nil
}
