package endtoend

import (
	"testing"

	"github.com/matryer/is"
)

// output returns the tokens that each engine of the deployment produces for the
// prompt.
func (d *deployment) output(prompt string) outputs {
	all := make(outputs)
	for _, b := range d.backends {
		if b.engine != nil {
			all[b.settings.Name] = b.engine.Output(prompt)
		}
	}
	return all
}

// executions returns how often all engines together have started the request.
func (d *deployment) executions(id string) int {
	count := 0
	for _, b := range d.backends {
		if b.engine != nil {
			count += b.engine.Executions(id)
		}
	}
	return count
}

// TestStreamedAndUnstreamedAnswers checks that a streamed answer and an answer in one
// response are complete, each from one execution.
func TestStreamedAndUnstreamedAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 2, engines: 2})
	c := newCaller(d.entries[0])

	const prompt = "tokens=40 draft a programme"
	s, err := c.stream(newRequest("programme", prompt))
	is.NoErr(err)
	defer s.close()
	answer := newTranscript(d.output(prompt))
	is.NoErr(answer.readAll(s))
	is.NoErr(answer.checkComplete())
	is.Equal(d.executions(answer.request), 1)

	r, err := c.complete(newRequest("programme", prompt))
	is.NoErr(err)
	p, err := checkCompleteReply(r, d.output(prompt))
	is.NoErr(err)
	is.Equal(d.executions(p.Fulmarvalve.RequestID), 1)
}
