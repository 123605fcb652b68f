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
	// shortHeartbeatMillis and shortProgressMillis make processes detect an
	// unresponsive connection early, so that tests are short.
	shortHeartbeatMillis = 200
	shortProgressMillis  = 1000
	// tokensBeforeFault is the number of tokens that a caller has received
	// before a test injects a fault.
	tokensBeforeFault = 10
)

// withShortTimeouts returns the layout with short heartbeat and progress times.
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

// reader is a caller that reads a stream to its end. When the stream is
// truncated, the reader resumes it at the next of the other entry hosts.
type reader struct {
	transcript
	others  []*caller
	resumes int
}

// readToEnd reads to the end of the answer and resumes truncated streams.
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

// isTruncated reports whether an error means that a stream ended early, as opposed
// to wrong contents.
func isTruncated(err error) bool { return errors.Is(err, errTruncated) }

// resumeElsewhere resumes the answer at the next of the other entry hosts.
func (r *reader) resumeElsewhere(cause error) (*stream, error) {
	if r.resumes >= len(r.others) || len(r.resumeTokens) == 0 {
		return nil, errors.Wrapf(cause, "cannot resume after %d tokens and %d resumes", r.position, r.resumes)
	}
	next := r.others[r.resumes]
	r.resumes++
	return next.resume(account, r.resumeToken(), r.position)
}

// readerGroup is a set of callers that read streams concurrently.
type readerGroup struct {
	readers []*reader
	group   errgroup.Group
	// started is done when every caller has received its first tokens or has
	// failed.
	started sync.WaitGroup
}

// newReaderGroup starts one stream per prompt at c. Truncated streams are resumed
// at the others.
func newReaderGroup(d *deployment, class string, all []string, c *caller, others ...*caller) *readerGroup {
	g := &readerGroup{}
	for _, prompt := range all {
		r := &reader{transcript: *newTranscript(d.output(prompt)), others: others}
		g.readers = append(g.readers, r)
		g.started.Add(1)
		g.group.Go(func() error {
			err := r.run(c, newRequest(class, prompt), g.started.Done)
			return errors.Wrapf(err, "caller of %q", prompt)
		})
	}
	return g
}

// run reads the answer to one request and calls started when the first tokens have been
// received or the request has failed.
func (r *reader) run(c *caller, request generationRequest, started func()) error {
	started = sync.OnceFunc(started)
	defer started()
	s, err := c.stream(request)
	if err != nil {
		return err
	}
	err = r.readUntil(s, tokensBeforeFault)
	started()
	if err != nil && !isTruncated(err) {
		s.close()
		return err
	}
	return r.readToEnd(s)
}

// wait waits for every caller and fails the test with the first error.
func (g *readerGroup) wait(t *testing.T) {
	t.Helper()
	if err := g.group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// checkComplete waits for every caller and checks that each has its complete
// answer, from exactly one execution.
func (g *readerGroup) checkComplete(t *testing.T, d *deployment) {
	t.Helper()
	g.wait(t)
	for _, r := range g.readers {
		if err := r.checkComplete(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
		if count := d.executions(r.request); count != 1 {
			t.Errorf("request %s ran %d times, want 1", r.request, count)
		}
	}
}
