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
	// quickHeartbeatMillis and quickProgressMillis let a dead path be noticed
	// early, so that tests end soon.
	quickHeartbeatMillis = 200
	quickProgressMillis  = 1000
	// firstTokens is how many tokens a caller holds before a fault begins.
	firstTokens = 10
)

// quick returns the layout with short heartbeats.
func quick(l layout) layout {
	l.changeEntry = func(s *process.Entry) {
		s.HeartbeatMillis, s.ProgressMillis = quickHeartbeatMillis, quickProgressMillis
	}
	change := l.changeBackend
	l.changeBackend = func(s *process.Backend) {
		s.HeartbeatMillis = quickHeartbeatMillis
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

// readThrough reads to the end of the answer.
func (r *reader) readThrough(s *stream) error {
	for {
		err := r.readAll(s)
		s.close()
		if err == nil || !brokenOff(err) {
			return err
		}
		if s, err = r.comeBack(err); err != nil {
			return err
		}
	}
}

// brokenOff tells a stream that ended early from one with wrong contents.
func brokenOff(err error) bool { return errors.Is(err, errBrokenOff) }

// comeBack resumes at the next other entry host.
func (r *reader) comeBack(cause error) (*stream, error) {
	if r.resumes >= len(r.others) || len(r.tickets) == 0 {
		return nil, errors.Wrapf(cause, "no way back after %d tokens", r.position)
	}
	next := r.others[r.resumes]
	r.resumes++
	return next.resume(account, r.ticket(), r.position)
}

// crowd is a number of callers that stream at once.
type crowd struct {
	readers []*reader
	group   errgroup.Group
	// begun is done once every caller holds the first tokens, or has failed.
	begun sync.WaitGroup
}

// newCrowd streams every prompt through c; whoever is cut off comes back
// through others.
func newCrowd(d *deployment, class string, all []string, c *caller, others ...*caller) *crowd {
	w := &crowd{}
	for _, prompt := range all {
		r := &reader{transcript: *newTranscript(d.output(prompt)), others: others}
		w.readers = append(w.readers, r)
		w.begun.Add(1)
		w.group.Go(func() error {
			err := r.run(c, ask(class, prompt), w.begun.Done)
			return errors.Wrapf(err, "caller of %q", prompt)
		})
	}
	return w
}

func (r *reader) run(c *caller, q question, begun func()) error {
	begun = sync.OnceFunc(begun)
	defer begun()
	s, err := c.stream(q)
	if err != nil {
		return err
	}
	err = r.readUntil(s, firstTokens)
	begun()
	if err != nil && !brokenOff(err) {
		s.close()
		return err
	}
	return r.readThrough(s)
}

// wait waits for every caller and fails the test for the first fault.
func (w *crowd) wait(t *testing.T) {
	t.Helper()
	if err := w.group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// checkWhole checks that every caller has its whole answer from one execution.
func (w *crowd) checkWhole(t *testing.T, d *deployment) {
	t.Helper()
	w.wait(t)
	for _, r := range w.readers {
		if err := r.checkWhole(); err != nil {
			t.Errorf("request %s: %v", r.request, err)
		}
		if count := d.executions(r.request); count != 1 {
			t.Errorf("request %s ran %d times", r.request, count)
		}
	}
}
