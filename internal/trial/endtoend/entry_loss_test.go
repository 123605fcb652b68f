package endtoend

import (
	"testing"

	"github.com/matryer/is"
)

// TestEntryHostKilled checks that callers whose entry host died get the rest of
// their answers through another one.
func TestEntryHostKilled(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, layout{entries: 2, engines: 2})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	w := newReaderGroup(d, "programme", prompts(8, 120), first, second)
	w.started.Wait()
	d.entries[0].kill()
	w.checkComplete(t, d)
	for _, r := range w.readers {
		if r.resumes != 1 {
			t.Errorf("request %s was resumed %d times", r.request, r.resumes)
		}
	}
}

// TestEntryHostKilledTwice checks that a caller may lose one entry host after
// the other, and come back through one that was started again.
func TestEntryHostKilledTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	prompt := prompts(1, 300)[0]
	s, err := first.stream(newRequest("programme", prompt))
	is.NoErr(err)
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(s, tokensBeforeFault))
	d.entries[0].kill()
	s.close()
	s, err = second.resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	is.NoErr(answer.readUntil(s, answer.position+tokensBeforeFault))
	d.entries[0].start()
	d.waitReady()
	d.entries[1].kill()
	s.close()
	s, err = first.resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	defer s.close()
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
}

// TestEntryHostFrozen checks that both the stream of an entry host that was
// frozen and the one that replaced it carry each token once.
func TestEntryHostFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 1})
	prompt := prompts(1, 150)[0]
	old, err := newCaller(d.entries[0]).stream(newRequest("programme", prompt))
	is.NoErr(err)
	defer old.close()
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readUntil(old, tokensBeforeFault))
	d.entries[0].freeze()

	resumed := *answer
	s, err := newCaller(d.entries[1]).resume(account, answer.resumeToken(), answer.position)
	is.NoErr(err)
	defer s.close()
	is.NoErr(resumed.readAll(s))
	is.NoErr(resumed.checkComplete())

	d.entries[0].thaw()
	is.NoErr(answer.readAll(old))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)
}
