package endtoend

import (
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

const (
	// shortHeartbeatMillis and quickProgressMillis let a dead path be noticed
	// early, so that tests end soon.
	shortHeartbeatMillis = 200
	shortProgressMillis  = 1000
	// tokensBeforeFault is how many tokens a caller holds before a fault begins.
	tokensBeforeFault = 10
)

// withShortTimeouts returns the layout with short heartbeats.
func withShortTimeouts(l layout) layout {
	l.changeEntry = func(s *process.Entry) {
		s.HeartbeatMillis, s.ProgressMillis = shortHeartbeatMillis, shortProgressMillis
	}
	change := l.changeBackend
	l.changeBackend = func(s *process.Backend) {
		s.HeartbeatMillis = shortHeartbeatMillis
		if change != nil {
			change(s)
		}
	}
	return l
}

// prompts returns distinct prompts for answers of the given length.
func prompts(count, tokens int) []string {
	all := make([]string, 0, count)
	for n := range count {
		all = append(all, fmt.Sprintf("tokens=%d draft a programme for member %d", tokens, n))
	}
	return all
}

// reader is one caller that reads a stream to its end, and comes back through
// other entry hosts whenever it breaks off.
type reader struct {
	transcript
	others  []*caller
	resumes int
}

// readToEnd reads to the end of the answer.
func (r *reader) readToEnd(s *stream) error {
	for {
		err := r.readAll(s)
		s.close()
		if err == nil || !isTruncated(err) {
			return err
		}
		if s, err = r.resumeElsewhere(err); err != nil {
			return err
		}
	}
}

// isTruncated tells a stream that ended early from one with wrong contents.
func isTruncated(err error) bool { return errors.Is(err, errTruncated) }

// resumeElsewhere resumes at the next other entry host.
func (r *reader) resumeElsewhere(cause error) (*stream, error) {
	if r.resumes >= len(r.others) || len(r.resumeTokens) == 0 {
		return nil, errors.Wrapf(cause, "no way back after %d tokens", r.position)
	}
	next := r.others[r.resumes]
	r.resumes++
	return next.resume(account, r.resumeToken(), r.position)
}

// readerGroup is a number of callers that stream at once.
type readerGroup struct {
	readers []*reader
	group   errgroup.Group
	// started is done once every caller holds the first tokens, or has failed.
	started sync.WaitGroup
}

// newReaderGroup streams every prompt through c; whoever is cut off comes back
// through others.
func newReaderGroup(d *deployment, class string, all []string, c *caller, others ...*caller) *readerGroup {
	w := &readerGroup{}
	for _, prompt := range all {
		r := &reader{transcript: *newTranscript(d.output(prompt)), others: others}
		w.readers = append(w.readers, r)
		w.started.Add(1)
		w.group.Go(func() error {
			err := r.run(c, newRequest(class, prompt), w.started.Done)
			return errors.Wrapf(err, "caller of %q", prompt)
		})
	}
	return w
}

func (r *reader) run(c *caller, q generationRequest, begun func()) error {
	begun = sync.OnceFunc(begun)
	defer begun()
	s, err := c.stream(q)
	if err != nil {
		return err
	}
	err = r.readUntil(s, tokensBeforeFault)
	begun()
	if err != nil && !isTruncated(err) {
		s.close()
		return err
	}
	return r.readToEnd(s)
}

// wait waits for every caller and fails the test for the first fault.
func (w *readerGroup) wait(t *testing.T) {
	t.Helper()
	if err := w.group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// checkComplete checks that every caller has its whole answer from one execution.
func (w *readerGroup) checkComplete(t *testing.T, d *deployment) {
	t.Helper()
	w.wait(t)
	for _, r := range w.readers {
		if err := r.checkComplete(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
		if count := d.executions(r.request); count != 1 {
			t.Errorf("request %s ran %d times", r.request, count)
		}
	}
}
