package delivery

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/message"
)

const answerLength = 6

// tokenText returns the text of a token, which is distinct for each request,
// generation and position.
func tokenText(request string, g Generation, position uint64) string {
	return fmt.Sprintf("%s/%s/%d", request, g.Backend, position)
}

// generateFrame returns any frame that the generations of two requests may send.
func generateFrame(t *rapid.T) *message.Frame {
	request := rapid.SampledFrom([]string{"r", "r", "r", "q"}).Draw(t, "request")
	generation := rapid.SampledFrom([]Generation{first, second}).Draw(t, "generation")
	from := rapid.Uint64Range(0, answerLength).Draw(t, "from")
	if from == answerLength {
		return end(request, generation, from)
	}
	until := rapid.Uint64Range(from+1, answerLength).Draw(t, "until")
	var text []string
	for p := from; p < until; p++ {
		text = append(text, tokenText(request, generation, p))
	}
	return tokens(request, generation, from, text...)
}

// relay passes the frames to the delivery and returns what a caller would receive.
func relay(d *Delivery, frames []*message.Frame) (delivered []string, ended bool) {
	for _, f := range frames {
		switch s := d.Accept(f).(type) {
		case Deliver:
			delivered = append(delivered, s.Text...)
		case Ended:
			ended = true
		}
	}
	return delivered, ended
}

// checkAnswer returns an error unless delivered is a prefix of one generation of
// request "r", and all of that generation if the answer ended.
func checkAnswer(delivered []string, ended bool) error {
	if ended && len(delivered) != answerLength {
		return fmt.Errorf("answer ended after %d of %d tokens", len(delivered), answerLength)
	}
	for _, g := range []Generation{first, second} {
		if isPrefix(delivered, g) {
			return nil
		}
	}
	return fmt.Errorf("delivered tokens are not a prefix of one generation: %v", delivered)
}

func isPrefix(delivered []string, g Generation) bool {
	for i, text := range delivered {
		if text != tokenText("r", g, uint64(i)) {
			return false
		}
	}
	return true
}

func TestAcceptDeliversOnePrefixOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames := rapid.SliceOfN(rapid.Custom(generateFrame), 0, 40).Draw(t, "frames")
		d := Delivery{RequestID: "r"}
		if err := checkAnswer(relay(&d, frames)); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMissingGenerationCheckIsDetected checks that the property test detects a
// delivery without the generation check: at least one of a fixed set of seeds
// violates the property.
func TestMissingGenerationCheckIsDetected(t *testing.T) {
	is := is.New(t)
	frames := rapid.SliceOfN(rapid.Custom(generateFrame), 10, 40)
	found := false
	for seed := range 200 {
		d := Delivery{RequestID: "r", skipGenerationCheck: true}
		if err := checkAnswer(relay(&d, frames.Example(seed))); err != nil {
			t.Logf("seed %d: %v", seed, err)
			found = true
			break
		}
	}
	is.True(found) // the delivery without the check must be detected
}

// TestDiscardedAnswerRestartsFromFirstToken discards the delivered tokens after a
// random number of frames, as an entry host does with an answer that it buffers.
func TestDiscardedAnswerRestartsFromFirstToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.Custom(generateFrame), 0, 20).Draw(t, "before")
		after := rapid.SliceOfN(rapid.Custom(generateFrame), 0, 20).Draw(t, "after")
		d := Delivery{RequestID: "r"}
		relay(&d, before)
		discarded := d.Generation()
		if err := d.Discard(); err != nil {
			t.Fatal(err)
		}
		delivered, ended := relay(&d, after)
		if err := checkAnswer(delivered, ended); err != nil {
			t.Fatal(err)
		}
		if len(delivered) > 0 && d.Generation() == discarded {
			t.Fatal("a discarded generation was bound again")
		}
	})
}
