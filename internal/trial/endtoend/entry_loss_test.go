package endtoend

import (
	"testing"

	"github.com/matryer/is"
)

// TestEntryHostKilled checks that callers whose entry host is killed receive the
// rest of their answers through another entry host.
func TestEntryHostKilled(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, layout{entries: 2, engines: 2})
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	streams := newReaderGroup(d, "programme", prompts(8, 120), first, second)
	streams.started.Wait()
	d.entries[0].kill()
	streams.checkComplete(t, d)
	for _, r := range streams.readers {
		if r.resumes != 1 {
			t.Errorf("request %s was resumed %d times, want 1", r.request, r.resumes)
		}
	}
}

// TestEntryHostKilledTwice checks that a caller can lose both entry hosts one
// after the other, and resume at the first one after its restart.
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

// TestEntryHostFrozen checks that an answer that was resumed elsewhere while its
// entry host was frozen is complete on both streams, with each token once: on the
// new stream, and on the old one after the entry host continues.
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
